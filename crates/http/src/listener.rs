//! Opens a listening socket.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// How long to wait for an address that is still in use.
const IN_USE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Listens on an address. A process that is restarted within a fraction of a second may
/// find it in use by its previous run, which the system is still cleaning up; ending for
/// that reason would make it end over and over.
///
/// # Errors
///
/// If the address can't be had, or is still in use after some seconds.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let deadline = Instant::now() + IN_USE_TIMEOUT;
    loop {
        match TcpListener::bind(addr) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline => {
                std::thread::sleep(RETRY_PAUSE);
            }
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests;
