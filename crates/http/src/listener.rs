//! Opens a listening socket.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Time to wait for an address that is still in use.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two attempts to bind the address.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Listens on an address, and retries for up to five seconds while the address is in use. After a restart
/// within a fraction of a second, the operating system may still hold the socket of the previous
/// process; exiting immediately would cause a restart loop.
///
/// # Errors
///
/// If the address cannot be bound, or is still in use after five seconds.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let deadline = Instant::now() + ADDRESS_IN_USE_TIMEOUT;
    loop {
        match TcpListener::bind(addr) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests;
