use super::*;
use crate::coordination::Response;
use std::io::{Read, Write};

/// Sends a request to a controller close to its connection limit. Returns true if the controller answers
/// and keeps the connection open.
fn is_kept_open_after(request: &str) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    let (event_sender, events) = sync_channel(4);
    std::thread::spawn(move || {
        while let Ok(Event::Request { response_sender: sender, .. }) = events.recv() {
            let _ = sender.send(Response::Healthy);
        }
    });
    let registry = ConnectionRegistry::new(ResourceBudget {
        max_connections: 4,
        eviction_threshold: 2,
        max_unidentified: 8,
        min_reserved_for_workers: 1,
    });
    let stream = Arc::new(stream);
    // Three other connections of workers are already open.
    let other_connections: Vec<_> = (0..3).map(|_| registry.admit(&stream)).collect();
    assert!(other_connections
        .iter()
        .flatten()
        .all(|other| registry.request_started(*other, Role::Worker) == ConnectionAction::KeepOpen));
    let id = registry.admit(&stream).expect("room for one more");
    std::thread::spawn(move || {
        let _ = serve(stream, id, &registry, &event_sender);
        registry.closed(id);
        // The client sees the connection close only when the last handle of the socket is dropped.
        other_connections.into_iter().flatten().for_each(|other| registry.closed(other));
    });
    client.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    client.write_all(request.as_bytes()).unwrap();
    let mut response = vec![];
    // Returns immediately if the controller closes the connection, otherwise when the read times out.
    client.read_to_end(&mut response).is_err() && !response.is_empty()
}

/// Guards against users who keep their connections open and leave none for workers.
#[test]
fn near_the_connection_limit_only_connections_of_workers_stay_open() {
    let heartbeat = r#"{"deck":"i-1","endpoint":"a","hull":"h","berth":"z","watch":1,"tally":1}"#;
    let hello = format!("POST /hello HTTP/1.1\r\nContent-Length: {}\r\n\r\n{heartbeat}", heartbeat.len());
    assert!(is_kept_open_after(&hello));
    assert!(!is_kept_open_after("GET /up HTTP/1.1\r\n\r\n"));
}
