use super::*;
use crate::coordination::Response;
use std::io::{Read, Write};

/// Sends a request to a crowded node and says whether it may send another.
fn kept_after(request: &str) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    let (engine, events) = sync_channel(4);
    std::thread::spawn(move || {
        while let Ok(Event::Asked(_, answer)) = events.recv() {
            let _ = answer.send(Response::Healthy);
        }
    });
    let front = Front::new(ResourceBudget { connections: 4, crowded: 2, unidentified: 8, workers: 1 });
    let stream = Arc::new(stream);
    // Others are there already.
    let others: Vec<_> = (0..3).map(|_| front.arrived(&stream)).collect();
    assert!(others.iter().flatten().all(|other| front.asked(*other, Role::Worker) == ConnectionAction::Open));
    let id = front.arrived(&stream).expect("room for one more");
    std::thread::spawn(move || {
        let _ = serve(stream, id, &front, &engine);
        front.ended(id);
        // The other end hears of it when the last handle is dropped.
        others.into_iter().flatten().for_each(|other| front.ended(other));
    });
    client.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    client.write_all(request.as_bytes()).unwrap();
    let mut answer = vec![];
    // Ends at once if the node closes, else when the time is over.
    client.read_to_end(&mut answer).is_err() && !answer.is_empty()
}

/// Users that kept their connections could leave none for workers.
#[test]
fn a_crowded_node_keeps_workers_connections_only() {
    let heartbeat = r#"{"deck":"i-1","endpoint":"a","hull":"h","berth":"z","watch":1,"tally":1}"#;
    let hello = format!("POST /hello HTTP/1.1\r\nContent-Length: {}\r\n\r\n{heartbeat}", heartbeat.len());
    assert!(kept_after(&hello));
    assert!(!kept_after("GET /up HTTP/1.1\r\n\r\n"));
}
