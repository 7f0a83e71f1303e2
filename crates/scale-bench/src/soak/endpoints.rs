//! The endpoints of a play and their faults. One listener serves all loopback addresses, each of which is an
//! endpoint.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::message::{read_message, Message};
use super::plan::Behaviour;
use super::rules::RequestLog;
use crate::fakes::hash::{fraction, mix};
use crate::fakes::listener::{accept, listen_on_all_loopback_addresses};
use crate::fakes::lock;

/// Shortest time that an endpoint works on a request.
const MIN_WORK_TIME: Duration = Duration::from_millis(3);
/// Longest time that an endpoint works on a request beyond [`MIN_WORK_TIME`], in milliseconds.
const MAX_EXTRA_WORK_TIME_MS: f64 = 30.0;

/// A fault that affects a share of the endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointFault {
    /// What the affected endpoints do with attempts.
    pub behaviour: Behaviour,
    /// The share of the endpoints that are affected, from 0 to 1.
    pub share: f64,
}

/// The endpoints of a play.
pub struct FaultyEndpoints {
    seed: u64,
    port: u16,
    /// Active faults in the order in which they began.
    faults: Mutex<Vec<EndpointFault>>,
    request_log: Arc<RequestLog>,
}

impl FaultyEndpoints {
    /// Starts an endpoint at every loopback address. The endpoints run as long as the runtime.
    ///
    /// # Errors
    /// Returns an error if no listener can be bound to the loopback device alone.
    pub fn start(seed: u64, request_log: Arc<RequestLog>) -> io::Result<Arc<Self>> {
        let listener = listen_on_all_loopback_addresses()?;
        let port = listener.local_addr()?.port();
        let endpoints = Arc::new(FaultyEndpoints { seed, port, faults: Mutex::default(), request_log });
        tokio::spawn(endpoints.clone().serve(listener));
        Ok(endpoints)
    }

    /// Returns the port at which all endpoints listen.
    pub fn port(&self) -> u16 {
        self.port
    }

    /// Begins a fault, which takes precedence over those that began before.
    pub fn begin_fault(&self, fault: EndpointFault) {
        lock(&self.faults).push(fault);
    }

    /// Ends a fault; does nothing if it is not active.
    pub fn end_fault(&self, fault: EndpointFault) {
        let mut faults = lock(&self.faults);
        if let Some(index) = faults.iter().position(|active| *active == fault) {
            faults.remove(index);
        }
    }

    /// Returns what an endpoint does now, which the latest active fault that affects it decides. Each
    /// endpoint has a fixed place from 0 to 1, drawn from the seed; a fault affects the endpoints whose place
    /// is below its share.
    fn behaviour(&self, endpoint: IpAddr) -> Behaviour {
        let place = fraction(self.seed, address_number(endpoint));
        let faults = lock(&self.faults);
        let fault = faults.iter().rev().find(|fault| place < fault.share);
        fault.map_or(Behaviour::Serve, |fault| fault.behaviour)
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener).await;
            if let Ok(address) = stream.local_addr() {
                tokio::spawn(self.clone().serve_connection(stream, address));
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, endpoint: SocketAddr) {
        let mut stream = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut stream).await {
            if !self.handle_request(&mut stream, &request, endpoint.ip()).await {
                return;
            }
        }
    }

    /// Handles a request according to the endpoint's current behaviour. A request without an id is not an
    /// attempt and gets status 200. Returns whether the connection stays open.
    async fn handle_request(
        &self,
        stream: &mut BufReader<TcpStream>,
        request: &Message,
        endpoint: IpAddr,
    ) -> bool {
        let Some(id) = request.header("x-request-id") else {
            return write(stream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
        };
        let behaviour = self.behaviour(endpoint);
        self.request_log.record_attempt(id, behaviour);
        let extra_ms = MAX_EXTRA_WORK_TIME_MS * fraction(self.seed, mix(7, address_number(endpoint)));
        sleep(MIN_WORK_TIME + Duration::from_secs_f64(extra_ms / 1e3)).await;
        let body = format!("{id} {endpoint}");
        let length = body.len();
        match behaviour {
            Behaviour::Serve => {
                write(stream, &format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")).await
            }
            Behaviour::Fail => {
                write(stream, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n").await
            }
            Behaviour::Reject => {
                let head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
                write(stream, head).await
            }
            Behaviour::Cut => {
                write(stream, &format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{}", &body[..4]))
                    .await;
                false
            }
            Behaviour::Reset => {
                // An error is ignored: without this option the connection is closed instead of reset.
                let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
                false
            }
            Behaviour::Hang => {
                // The endpoint reads and discards until the node closes the connection.
                while stream.read(&mut [0; 256]).await.is_ok_and(|count| count > 0) {}
                false
            }
        }
    }
}

/// Writes text to the connection. Returns whether that succeeded.
async fn write(stream: &mut BufReader<TcpStream>, text: &str) -> bool {
    stream.get_mut().write_all(text.as_bytes()).await.is_ok()
}

/// Returns the address as a number; 0 for IPv6 addresses, which are not used.
fn address_number(address: IpAddr) -> u64 {
    match address {
        IpAddr::V4(address) => u64::from(u32::from(address)),
        IpAddr::V6(_) => 0,
    }
}
