//! The simulator adapter: runs the decision engines of simulated nodes on the simulator's messages. Each line
//! of input is a batch of messages and results in one line of output.

mod incoming;
mod outgoing;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

use thiserror::Error;

use crate::decision::{Action, DecisionEngine, EndpointEntry, Micros};
use incoming::{Batch, EndpointLists, Message, NodeMessages};
use outgoing::{NodeReply, Output, Reply};

/// Why the adapter stopped before the end of its input.
#[derive(Debug, Error)]
pub enum SimulatorError {
    /// A line of the input is not valid JSON, or a required field is missing or has the wrong type.
    #[error("line {line} is malformed: {source}")]
    Malformed {
        /// Number of the line, from 1.
        line: usize,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// A message is addressed to a node that has not been started. Holds the id of the node.
    #[error("message for {0}, which has not been started")]
    NotStarted(String),
    /// A message refers to an endpoint list that has not been defined. Holds the number of the list.
    #[error("list {0} has not been set up")]
    UnknownList(u32),
    /// Reading the input or writing the output failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
}

/// Reads one batch of messages from each line of `input`, passes the messages of each node to its decision
/// engine, and writes one line with the reply to `output`. Returns at the end of the input.
///
/// # Errors
/// If a line is malformed or refers to an unknown node or endpoint list, or if reading or writing fails.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), SimulatorError> {
    let mut simulation = Simulation::default();
    for (index, line) in input.lines().enumerate() {
        let batch: Batch = serde_json::from_str(&line?)
            .map_err(|source| SimulatorError::Malformed { line: index + 1, source })?;
        let reply = simulation.handle_batch(batch)?;
        serde_json::to_writer(&mut output, &reply).map_err(io::Error::from)?;
        output.write_all(b"\n")?;
        output.flush()?;
    }
    Ok(())
}

/// The running nodes, and the endpoint lists that messages refer to.
#[derive(Default)]
struct Simulation {
    engines: BTreeMap<String, DecisionEngine>,
    lists: EndpointLists,
}

impl Simulation {
    fn handle_batch(&mut self, batch: Batch) -> Result<Reply, SimulatorError> {
        let mut nodes = Vec::new();
        for node in batch.nodes {
            let reply = self.handle_messages(batch.time, node)?;
            if !reply.messages.is_empty() {
                nodes.push(reply);
            }
        }
        Ok(Reply { nodes })
    }

    fn handle_messages(&mut self, time: Micros, node: NodeMessages) -> Result<NodeReply, SimulatorError> {
        let mut actions = Vec::new();
        for message in node.messages {
            self.handle_message(time, &node.node_id, message, &mut actions)?;
        }
        let messages = actions.into_iter().map(Output::from).collect();
        Ok(NodeReply { node_id: node.node_id, messages })
    }

    fn handle_message(
        &mut self,
        time: Micros,
        node_id: &str,
        message: Message,
        actions: &mut Vec<Action>,
    ) -> Result<(), SimulatorError> {
        match message {
            Message::Start { seed, settings } => {
                let engine = DecisionEngine::new(seed, (*settings).into());
                self.engines.insert(node_id.to_owned(), engine);
            }
            Message::DefineEndpointList { list, entries } => {
                let entries = entries.into_iter().map(EndpointEntry::from).collect();
                self.lists.insert(list, entries);
            }
            Message::Killed => {
                self.engines.remove(node_id);
                // The process was killed before it could send the actions of this batch.
                actions.clear();
            }
            other => {
                let Some(event) = other.into_event(&self.lists)? else { return Ok(()) };
                let engine = self
                    .engines
                    .get_mut(node_id)
                    .ok_or_else(|| SimulatorError::NotStarted(node_id.to_owned()))?;
                engine.handle(time, event, actions);
            }
        }
        Ok(())
    }
}
