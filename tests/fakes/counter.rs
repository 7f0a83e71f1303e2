//! A fake counter service whose every reply the test gives itself.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::spawn;

use super::TEST_TIMEOUT;

/// Words of an `INCRTTL` call: command, name, amount, lifetime.
const CALL_WORDS: usize = 4;

/// A call that has arrived, to be answered by the test.
pub struct CounterCall {
    /// The counter's name.
    pub name: String,
    /// The units to add.
    pub amount: f64,
    stream: TcpStream,
}

impl CounterCall {
    /// The node's end of the connection that it arrived on.
    pub fn node_address(&self) -> SocketAddr {
        self.stream.peer_addr().expect("a peer")
    }

    /// Replies with the counter's total.
    pub fn reply_total(&mut self, total: f64) {
        let text = total.to_string();
        self.send_raw(&format!("${}\r\n{text}\r\n", text.len()));
    }

    /// Sends this text and leaves the connection open.
    pub fn send_raw(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("an open connection");
    }

    /// Closes the connection.
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).expect("an open connection");
    }
}

/// A fake counter service.
pub struct FakeCounter {
    /// Where it listens.
    pub address: SocketAddr,
    calls: Receiver<CounterCall>,
}

impl FakeCounter {
    /// Starts a service on a free port.
    pub fn start() -> FakeCounter {
        FakeCounter::with_listener(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    /// Starts a service on this listener.
    pub fn with_listener(listener: TcpListener) -> FakeCounter {
        let address = listener.local_addr().expect("an address");
        let (sender, calls) = channel();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                spawn(move || read_calls(&stream, &sender));
            }
        });
        FakeCounter { address, calls }
    }

    /// The next call, if it has arrived.
    pub fn poll_call(&self) -> Option<CounterCall> {
        self.calls.try_recv().ok()
    }

    /// The next call.
    pub fn next_call(&self) -> CounterCall {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call in time")
    }
}

fn read_calls(stream: &TcpStream, calls: &Sender<CounterCall>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    while let Some(words) = read_words(&mut reader) {
        let call = CounterCall {
            name: words[1].clone(),
            amount: words[2].parse().expect("a decimal number"),
            stream: stream.try_clone().expect("a clone"),
        };
        if calls.send(call).is_err() {
            return;
        }
    }
}

/// Reads the words of an `INCRTTL` call; none if the connection ends first.
fn read_words(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    assert_eq!(line, format!("*{CALL_WORDS}\r\n"));
    let mut words = Vec::new();
    for _ in 0..CALL_WORDS {
        let mut word = String::new();
        // The line with the word's length, then the word.
        reader.read_line(&mut word).ok()?;
        word.clear();
        reader.read_line(&mut word).ok()?;
        words.push(word.trim_end().to_string());
    }
    assert_eq!(words[0], "INCRTTL");
    Some(words)
}
