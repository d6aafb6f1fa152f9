//! HTTP client of the controllers' operators' listeners. Tries the controllers in order.

use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tillercleat_http::{Client as HttpClient, HttpError};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Error of a request that no controller answered conclusively.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No controller answered the request; contains the last error.
    #[error("no controller answers: {0}")]
    NoController(String),
    /// The request was refused for now, or its outcome is unknown.
    #[error("{0}")]
    Unconfirmed(String),
}

/// A client that tries several controllers in order.
pub struct Client {
    servers: Vec<SocketAddr>,
}

impl Client {
    pub fn new(servers: &[SocketAddr]) -> Client {
        Client { servers: servers.to_vec() }
    }

    fn call_server(server: SocketAddr, method: &str, path: &str, body: &[u8]) -> Result<(u16, Value), HttpError> {
        let (status, body) = HttpClient::new(server).call(method, path, body, TIMEOUT)?;
        Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
    }

    /// Sends a request to the controllers in order, until one handles it.
    ///
    /// # Errors
    ///
    /// If no controller handles the request. A request other than `GET` whose connection
    /// fails is not sent to the next controller, as it may have been carried out.
    pub fn call(&mut self, method: &str, path: &str, body: &[u8]) -> Result<(u16, Value), ClientError> {
        let mut last_error = "no servers are given".to_string();
        for server in &self.servers {
            match Client::call_server(*server, method, path, body) {
                // 503 means that the request was not carried out: the next controller may handle it.
                Ok((503, body)) => last_error = format!("{server}: {}", body["error"].as_str().unwrap_or("busy")),
                Ok(answer) => return Ok(answer),
                Err(HttpError::Io(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                    last_error = format!("{server}: {e}");
                }
                Err(error) if method != "GET" => {
                    return Err(ClientError::Unconfirmed(format!(
                        "{server}: {error}: it is not known whether this was carried out, ask for the status"
                    )));
                }
                Err(error) => last_error = format!("{server}: {error}"),
            }
        }
        Err(ClientError::NoController(last_error))
    }

    /// Returns the status of a service. If the answer lacks the driver's live observations, asks the driver too.
    ///
    /// # Errors
    ///
    /// As for [`Client::call`]; an error of the driver is ignored.
    pub fn status(&mut self, service: &str) -> Result<(u16, Value), ClientError> {
        let path = format!("/v1/rollouts/{service}");
        let answer = self.call("GET", &path, b"")?;
        let driver = answer.1["driver"]["listen"].as_str().and_then(|addr| addr.parse().ok());
        if answer.0 == 200 && answer.1["live"].is_null() {
            if let Some(Ok(driver_answer)) = driver.map(|addr| Client::call_server(addr, "GET", &path, b"")) {
                if driver_answer.0 == 200 {
                    return Ok(driver_answer);
                }
            }
        }
        Ok(answer)
    }
}
