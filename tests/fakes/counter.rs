//! A fake counter service. The test itself sends the reply to each call.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::spawn;

use super::TEST_TIMEOUT;

/// Number of words in an `INCRTTL` call: command, name, amount, lifetime.
const CALL_WORDS: usize = 4;

/// A call that has arrived and that the test answers.
pub struct CounterCall {
    /// Name of the counter.
    pub name: String,
    /// The units to add.
    pub amount: f64,
    stream: TcpStream,
}

impl CounterCall {
    /// Returns the node's address of the connection on which the call arrived.
    pub fn node_address(&self) -> SocketAddr {
        self.stream.peer_addr().expect("failed to get the node's address of the connection")
    }

    /// Replies with `total` as the counter's total, in units.
    pub fn reply_total(&mut self, total: f64) {
        let text = total.to_string();
        self.send_raw(&format!("${}\r\n{text}\r\n", text.len()));
    }

    /// Sends `text` as it is and leaves the connection open.
    pub fn send_raw(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("failed to write to the connection");
    }

    /// Closes the connection on which the call arrived.
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).expect("failed to shut down the connection");
    }
}

/// A fake counter service.
pub struct FakeCounter {
    /// Address on which the service listens.
    pub address: SocketAddr,
    calls: Receiver<CounterCall>,
}

impl FakeCounter {
    /// Starts a service on a free loopback port.
    pub fn start() -> FakeCounter {
        FakeCounter::with_listener(TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port"))
    }

    /// Starts a service that accepts connections from `listener`.
    pub fn with_listener(listener: TcpListener) -> FakeCounter {
        let address = listener.local_addr().expect("failed to get the listener's address");
        let (sender, calls) = channel();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                spawn(move || read_calls(&stream, &sender));
            }
        });
        FakeCounter { address, calls }
    }

    /// Returns the next call. Returns `None` if it has not arrived yet.
    pub fn poll_call(&self) -> Option<CounterCall> {
        self.calls.try_recv().ok()
    }

    /// Waits for the next call and returns it. Panics if none arrives within [`TEST_TIMEOUT`].
    pub fn next_call(&self) -> CounterCall {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("no counter call arrived in time")
    }
}

/// Reads the calls of one connection and passes them on until the connection ends or the test has ended.
fn read_calls(stream: &TcpStream, calls: &Sender<CounterCall>) {
    let mut reader = BufReader::new(stream.try_clone().expect("failed to clone the connection"));
    while let Some(words) = read_words(&mut reader) {
        let call = CounterCall {
            name: words[1].clone(),
            amount: words[2].parse().expect("the amount of the call is not a decimal number"),
            stream: stream.try_clone().expect("failed to clone the connection"),
        };
        if calls.send(call).is_err() {
            return;
        }
    }
}

/// Reads the words of an `INCRTTL` call. Returns `None` if the connection ends first.
fn read_words(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    assert_eq!(line, format!("*{CALL_WORDS}\r\n"));
    let mut words = Vec::new();
    for _ in 0..CALL_WORDS {
        let mut word = String::new();
        // The first line holds the length of the word, the second line holds the word.
        reader.read_line(&mut word).ok()?;
        word.clear();
        reader.read_line(&mut word).ok()?;
        words.push(word.trim_end().to_string());
    }
    assert_eq!(words[0], "INCRTTL");
    Some(words)
}
