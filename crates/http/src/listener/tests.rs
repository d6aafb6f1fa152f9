use super::*;

/// A controller ended at once when the socket of its previous run was still there.
#[test]
fn listening_waits_for_an_address_in_use() {
    let previous = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = previous.local_addr().unwrap();
    let freed = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(150));
        drop(previous);
    });
    assert_eq!(listen(addr).unwrap().local_addr().unwrap(), addr);
    freed.join().unwrap();
}
