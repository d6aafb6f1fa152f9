use super::*;

/// Guards against a controller that exits at startup because the socket of its previous process is still open.
#[test]
fn listen_retries_until_the_address_is_free() {
    let previous = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = previous.local_addr().unwrap();
    let release = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(150));
        drop(previous);
    });
    assert_eq!(listen(addr).unwrap().local_addr().unwrap(), addr);
    release.join().unwrap();
}
