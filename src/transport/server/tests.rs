use super::*;
use crate::coordination::Response;
use std::io::{Read, Write};

/// Sends a request to a crowded controller and says whether it may send another.
fn kept_after(request: &str) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    let (event_sender, events) = sync_channel(4);
    std::thread::spawn(move || {
        while let Ok(Event::Request { response_sender: answer, .. }) = events.recv() {
            let _ = answer.send(Response::Healthy);
        }
    });
    let registry = ConnectionRegistry::new(ResourceBudget {
        max_connections: 4,
        eviction_threshold: 2,
        max_unidentified: 8,
        min_reserved_for_workers: 1,
    });
    let stream = Arc::new(stream);
    // Others are there already.
    let others: Vec<_> = (0..3).map(|_| registry.admit(&stream)).collect();
    assert!(others
        .iter()
        .flatten()
        .all(|other| registry.request_started(*other, Role::Worker) == ConnectionAction::KeepOpen));
    let id = registry.admit(&stream).expect("room for one more");
    std::thread::spawn(move || {
        let _ = serve(stream, id, &registry, &event_sender);
        registry.closed(id);
        // The other end hears of it when the last handle is dropped.
        others.into_iter().flatten().for_each(|other| registry.closed(other));
    });
    client.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    client.write_all(request.as_bytes()).unwrap();
    let mut answer = vec![];
    // Ends at once if the controller closes, else when the time is over.
    client.read_to_end(&mut answer).is_err() && !answer.is_empty()
}

/// Users that kept their connections could leave none for workers.
#[test]
fn a_crowded_controller_keeps_only_connections_of_workers() {
    let heartbeat = r#"{"deck":"i-1","endpoint":"a","hull":"h","berth":"z","watch":1,"tally":1}"#;
    let hello = format!("POST /hello HTTP/1.1\r\nContent-Length: {}\r\n\r\n{heartbeat}", heartbeat.len());
    assert!(kept_after(&hello));
    assert!(!kept_after("GET /up HTTP/1.1\r\n\r\n"));
}
