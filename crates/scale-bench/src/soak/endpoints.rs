//! Endpoints that fail as a play has it: one listener at all loopback addresses.

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
use super::rules::Ledger;
use crate::fakes::hash::{fraction, mix};
use crate::fakes::listener::{accept, listen_on_all_loopback_addresses};
use crate::fakes::lock;

/// How long an endpoint works on a request: this, and up to so much more.
const LEAST_WORK: Duration = Duration::from_millis(3);
const MAX_FURTHER_WORK_MS: f64 = 30.0;

/// A fault of a share of the endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointFault {
    /// What they do.
    pub behaviour: Behaviour,
    /// Their share.
    pub share: f64,
}

/// The endpoints of a play.
pub struct FaultyEndpoints {
    seed: u64,
    port: u16,
    faults: Mutex<Vec<EndpointFault>>,
    ledger: Arc<Ledger>,
}

impl FaultyEndpoints {
    /// Starts an endpoint at every loopback address; they run as long as the runtime.
    ///
    /// # Errors
    /// If they can't listen on the loopback device alone.
    pub fn start(seed: u64, ledger: Arc<Ledger>) -> io::Result<Arc<Self>> {
        let listener = listen_on_all_loopback_addresses()?;
        let port = listener.local_addr()?.port();
        let endpoints = Arc::new(FaultyEndpoints { seed, port, faults: Mutex::default(), ledger });
        tokio::spawn(endpoints.clone().serve(listener));
        Ok(endpoints)
    }

    /// The port that each of them listens at.
    pub fn port(&self) -> u16 {
        self.port
    }

    /// Begins a fault.
    pub fn begin(&self, fault: EndpointFault) {
        lock(&self.faults).push(fault);
    }

    /// Ends a fault.
    pub fn end(&self, fault: EndpointFault) {
        let mut faults = lock(&self.faults);
        if let Some(index) = faults.iter().position(|active| *active == fault) {
            faults.remove(index);
        }
    }

    /// What an endpoint does now: the latest fault that it is among counts.
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
            if !self.answer(&mut stream, &request, endpoint.ip()).await {
                return;
            }
        }
    }

    /// Answers a request as the endpoint does now. Returns whether the connection goes on.
    async fn answer(&self, stream: &mut BufReader<TcpStream>, request: &Message, endpoint: IpAddr) -> bool {
        let Some(id) = request.header("x-request-id") else {
            return write(stream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
        };
        let behaviour = self.behaviour(endpoint);
        self.ledger.attempted(id, behaviour);
        let further_ms = MAX_FURTHER_WORK_MS * fraction(self.seed, mix(7, address_number(endpoint)));
        sleep(LEAST_WORK + Duration::from_secs_f64(further_ms / 1e3)).await;
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
                // Where it can't be set the connection is closed instead.
                let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
                false
            }
            Behaviour::Hang => {
                // Until the node closes the connection.
                while stream.read(&mut [0; 256]).await.is_ok_and(|count| count > 0) {}
                false
            }
        }
    }
}

async fn write(stream: &mut BufReader<TcpStream>, text: &str) -> bool {
    stream.get_mut().write_all(text.as_bytes()).await.is_ok()
}

fn address_number(address: IpAddr) -> u64 {
    match address {
        IpAddr::V4(address) => u64::from(u32::from(address)),
        IpAddr::V6(_) => 0,
    }
}
