//! The list of app servers as discovery tells it: read entry by entry, so that a malformed one hides no other.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::decision::EndpointState;

/// So many of a list's faults are told one by one, the others by their number. Danger: a list with a fault in each
/// entry would fill the log.
pub const FAULTS_TOLD: usize = 5;

/// A list of app servers, or what has changed in it.
#[derive(Deserialize, Default)]
pub struct List {
    /// The version, as the agent counts.
    #[serde(rename = "index")]
    pub version: u64,
    /// Whether it is the whole list, and not a delta.
    #[serde(default)]
    pub snapshot: bool,
    endpoints: Option<Entries>,
}

impl List {
    /// Reads the text of a list.
    ///
    /// # Errors
    /// If it is no list. An entry that can't be read is none: it is left out, and told among the faults.
    pub fn read(text: &[u8]) -> serde_json::Result<List> {
        serde_json::from_slice(text)
    }

    /// Whether it has no entry at all.
    pub fn is_empty(&self) -> bool {
        self.endpoints.as_ref().is_none_or(|e| e.read.is_empty() && e.faults.count() == 0)
    }

    /// Whether it is a list at all. Danger: a whole one without entries, or with none that can be read, would take
    /// every app server out. Of changes one that can't be read is passed over.
    pub fn readable(&self) -> bool {
        let whole = |e: &Entries| !self.snapshot || !e.read.is_empty() || e.faults.count() == 0;
        self.endpoints.as_ref().is_some_and(whole)
    }

    /// The entries that could be read, in the order told.
    pub fn entries(&self) -> &[Entry] {
        self.endpoints.as_ref().map_or(&[], |e| &e.read)
    }

    /// What was wrong with others.
    pub fn faults(&self) -> &Faults {
        const NONE: &Faults = &Faults { told: Vec::new(), more: 0 };
        self.endpoints.as_ref().map_or(NONE, |e| &e.faults)
    }
}

/// An app server as a list has it.
pub struct Entry {
    /// Its name, the same at every node.
    pub name: Arc<str>,
    /// Where it is; none if the text is no address.
    pub address: Option<SocketAddr>,
    /// The zone's name.
    pub zone: Arc<str>,
    /// The name of its kind of machine.
    pub kind: Arc<str>,
    /// Its cell.
    pub group: u32,
    /// Its state; what has an unknown one is draining.
    pub state: EndpointState,
    /// Its size beside the others', where told; else 1.
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time; 0: long ago.
    pub since_ms: u64,
}

/// What was wrong with entries of one list: how much, and the first few in words.
#[derive(Default)]
pub struct Faults {
    told: Vec<String>,
    more: usize,
}

impl Faults {
    /// Notes one.
    pub fn add(&mut self, fault: impl fmt::Display) {
        if self.told.len() < FAULTS_TOLD {
            self.told.push(fault.to_string());
        } else {
            self.more += 1;
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.told.len() + self.more
    }

    /// Lines for the log, at most one more than are told one by one.
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        let more = (self.more > 0).then(|| format!("{} more entries of this list are at fault", self.more));
        self.told.iter().cloned().chain(more)
    }
}

#[derive(Default)]
struct Entries {
    read: Vec<Entry>,
    faults: Faults,
}

/// An entry as it is written.
#[derive(Deserialize)]
struct Written<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
    #[serde(borrow, default)]
    address: Cow<'a, str>,
    #[serde(borrow, default)]
    zone: Cow<'a, str>,
    #[serde(borrow, default, rename = "type")]
    kind: Cow<'a, str>,
    #[serde(default)]
    group: u32,
    #[serde(borrow)]
    status: Cow<'a, str>,
    weight: Option<f64>,
    #[serde(default)]
    since_ms: u64,
}

impl<'de> Deserialize<'de> for Entries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(EachByItself)
    }
}

struct EachByItself;

impl<'de> Visitor<'de> for EachByItself {
    type Value = Entries;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of app servers")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Entries, A::Error> {
        let (mut entries, mut labels) = (Entries::default(), Labels::default());
        while let Some(raw) = seq.next_element::<&RawValue>()? {
            match serde_json::from_str::<Written<'_>>(raw.get()) {
                Ok(written) => entries.take(written, &mut labels),
                Err(error) => entries.faults.add(format_args!("malformed entry: {error}")),
            }
        }
        entries.read.shrink_to_fit();
        Ok(entries)
    }
}

/// Names that many entries share, each kept once.
#[derive(Default)]
struct Labels(BTreeSet<Arc<str>>);

impl Labels {
    fn one(&mut self, label: &str) -> Arc<str> {
        if let Some(one) = self.0.get(label) {
            return one.clone();
        }
        let one = Arc::<str>::from(label);
        self.0.insert(one.clone());
        one
    }
}

impl Entries {
    fn take(&mut self, written: Written<'_>, labels: &mut Labels) {
        let state = match &*written.status {
            "up" => EndpointState::Active,
            "removed" => EndpointState::Removed,
            "draining" => EndpointState::Draining,
            other => {
                self.faults.add(format_args!("{} is {other:?}, taken as draining", written.name));
                EndpointState::Draining
            }
        };
        self.read.push(Entry {
            name: written.name.into(),
            address: written.address.parse().ok(),
            zone: labels.one(&written.zone),
            kind: labels.one(&written.kind),
            group: written.group,
            state,
            weight: written.weight.unwrap_or(1.0),
            since_ms: written.since_ms,
        });
    }
}
