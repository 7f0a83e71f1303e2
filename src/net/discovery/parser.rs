//! Parses the endpoint list that discovery sends. Each entry is parsed separately, so that a malformed entry
//! does not invalidate the others.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::decision::EndpointState;

/// Maximum number of faults of one list that are logged individually. Of the others only the number is
/// logged, because a list with a fault in each entry would fill the log.
pub const MAX_LOGGED_FAULTS: usize = 5;

/// A full list of endpoints, or a delta of that list.
#[derive(Deserialize, Default)]
pub struct EndpointList {
    /// The version of the list, as counted by discovery.
    #[serde(rename = "index")]
    pub version: u64,
    /// Whether this is the full list and not a delta.
    #[serde(rename = "snapshot", default)]
    pub is_snapshot: bool,
    endpoints: Option<ParsedEntries>,
}

impl EndpointList {
    /// Parses the text of a list. An entry that cannot be read is skipped and counted as a fault.
    ///
    /// # Errors
    /// Returns an error if the text is not a valid list.
    pub fn read(text: &[u8]) -> serde_json::Result<EndpointList> {
        serde_json::from_slice(text)
    }

    /// Returns whether the list has no entries, readable or not.
    pub fn is_empty(&self) -> bool {
        self.endpoints.as_ref().is_none_or(ParsedEntries::is_empty)
    }

    /// Returns whether the list can be applied. A list without the member `endpoints` cannot be applied, and
    /// neither can a full list that has entries of which none is readable. Applied as a full list, either
    /// would remove every endpoint. A delta is applied without its unreadable entries.
    pub fn is_usable(&self) -> bool {
        let Some(entries) = &self.endpoints else { return false };
        !self.is_snapshot || !entries.parsed.is_empty() || entries.faults.count() == 0
    }

    /// Returns the readable entries, in the order of the list.
    pub fn entries(&self) -> &[ListEntry] {
        self.endpoints.as_ref().map_or(&[], |entries| &entries.parsed)
    }

    /// Returns the faults found while the entries were parsed.
    pub fn faults(&self) -> &ListFaults {
        const NONE: &ListFaults = &ListFaults { messages: Vec::new(), unlogged_count: 0 };
        self.endpoints.as_ref().map_or(NONE, |entries| &entries.faults)
    }
}

/// The entry of an endpoint on a list.
pub struct ListEntry {
    /// The endpoint's name, which is the same at every node.
    pub name: Arc<str>,
    /// The endpoint's address; `None` if the text in the entry is not an address.
    pub address: Option<SocketAddr>,
    /// The name of its zone.
    pub zone: Arc<str>,
    /// The name of its machine kind.
    pub machine_kind: Arc<str>,
    /// The number of its cell; 0 if the entry has none.
    pub cell: u32,
    /// Its state; an unknown status is parsed as draining.
    pub state: EndpointState,
    /// Its capacity relative to that of other endpoints; 1 if the entry has none.
    pub weight: f64,
    /// When the endpoint last started, in milliseconds of Unix time; 0 if the entry gives no time, which is
    /// treated as a start long ago.
    pub started_at_ms: u64,
}

/// The faults found in one list: their number, and the messages of the first [`MAX_LOGGED_FAULTS`].
#[derive(Default)]
pub struct ListFaults {
    messages: Vec<String>,
    /// The number of faults without a message.
    unlogged_count: usize,
}

impl ListFaults {
    /// Adds a fault.
    pub fn add(&mut self, fault: impl fmt::Display) {
        if self.messages.len() < MAX_LOGGED_FAULTS {
            self.messages.push(fault.to_string());
        } else {
            self.unlogged_count += 1;
        }
    }

    /// Returns the number of faults.
    pub fn count(&self) -> usize {
        self.messages.len() + self.unlogged_count
    }

    /// Returns the lines for the log, at most one more than [`MAX_LOGGED_FAULTS`].
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        let rest = format!("{} more entries of this list are faulty", self.unlogged_count);
        self.messages.iter().cloned().chain((self.unlogged_count > 0).then_some(rest))
    }
}

/// The readable entries of a list, and its faults.
#[derive(Default)]
struct ParsedEntries {
    parsed: Vec<ListEntry>,
    faults: ListFaults,
}

impl ParsedEntries {
    fn is_empty(&self) -> bool {
        self.parsed.is_empty() && self.faults.count() == 0
    }

    fn add(&mut self, raw: RawEntry<'_>, labels: &mut LabelInterner) {
        let state = match &*raw.status {
            "up" => EndpointState::Active,
            "removed" => EndpointState::Removed,
            "draining" => EndpointState::Draining,
            unknown => {
                self.faults.add(format_args!(
                    "endpoint {} has the unknown status {unknown:?}; treated as draining",
                    raw.name
                ));
                EndpointState::Draining
            }
        };
        self.parsed.push(ListEntry {
            name: raw.name.into(),
            address: raw.address.parse().ok(),
            zone: labels.intern(&raw.zone),
            machine_kind: labels.intern(&raw.machine_kind),
            cell: raw.cell,
            state,
            weight: raw.weight.unwrap_or(1.0),
            started_at_ms: raw.started_at_ms,
        });
    }
}

/// An entry as it is serialized in the list.
#[derive(Deserialize)]
struct RawEntry<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
    #[serde(borrow, default)]
    address: Cow<'a, str>,
    #[serde(borrow, default)]
    zone: Cow<'a, str>,
    #[serde(borrow, default, rename = "type")]
    machine_kind: Cow<'a, str>,
    #[serde(default, rename = "group")]
    cell: u32,
    #[serde(borrow)]
    status: Cow<'a, str>,
    weight: Option<f64>,
    #[serde(default, rename = "since_ms")]
    started_at_ms: u64,
}

impl<'de> Deserialize<'de> for ParsedEntries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(EntriesVisitor)
    }
}

/// Parses the sequence of entries, each entry separately.
struct EntriesVisitor;

impl<'de> Visitor<'de> for EntriesVisitor {
    type Value = ParsedEntries;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list of endpoints")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<ParsedEntries, A::Error> {
        let mut entries = ParsedEntries::default();
        let mut labels = LabelInterner::default();
        while let Some(text) = sequence.next_element::<&RawValue>()? {
            match serde_json::from_str::<RawEntry<'_>>(text.get()) {
                Ok(raw) => entries.add(raw, &mut labels),
                Err(error) => entries.faults.add(format_args!("malformed entry skipped: {error}")),
            }
        }
        entries.parsed.shrink_to_fit();
        Ok(entries)
    }
}

/// Interns labels, so that entries with the same label share one string.
#[derive(Default)]
struct LabelInterner(BTreeSet<Arc<str>>);

impl LabelInterner {
    fn intern(&mut self, label: &str) -> Arc<str> {
        if let Some(known) = self.0.get(label) {
            return known.clone();
        }
        let interned = Arc::<str>::from(label);
        self.0.insert(interned.clone());
        interned
    }
}
