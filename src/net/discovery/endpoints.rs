//! All app servers that discovery has named: their numbers, where they are, and who else was told to be there.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::decision::{EndpointEntry, EndpointId, EndpointState};

use crate::net::discovery::parser::{Entry, Faults};

/// How a name gives a number.
pub type Numbering = fn(&str) -> EndpointId;

/// What the list tells of an app server beside its name and address: all that the decisions know of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Attributes {
    /// When it last started, in milliseconds of Unix time; 0: long ago.
    pub since_ms: u64,
    /// Its size beside the others'.
    pub weight: f64,
    /// Its zone, as the settings number it.
    pub zone: u32,
    /// Its kind of machine, as the settings number it.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: EndpointState,
}

impl Attributes {
    fn member(&self, server: EndpointId) -> EndpointEntry {
        let Attributes { since_ms, weight, zone, kind, cell, state } = *self;
        EndpointEntry {
            id: server,
            zone,
            machine_kind: kind,
            cell,
            state,
            weight,
            started_at: since_ms.saturating_mul(1000),
        }
    }
}

/// An app server as last told.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its name, the same at every node.
    pub name: Arc<str>,
    /// Where it is.
    pub address: SocketAddr,
    /// What else was told of it.
    pub attributes: Attributes,
}

impl Endpoint {
    /// Whether it wants new work.
    pub fn up(&self) -> bool {
        self.attributes.state == EndpointState::Active
    }
}

/// How a whole list differs from what was known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Difference {
    /// App servers of which nothing has changed.
    pub same: usize,
    /// Those of which something has.
    pub changed: usize,
    /// Those not known before.
    pub added: usize,
    /// Those known before and not on the list.
    pub gone: usize,
}

/// Names numbered in their order, from 0; of two that are equal the first counts.
#[derive(Debug, Clone)]
struct Ordered {
    numbers: BTreeMap<String, u32>,
    unknown: u32,
}

impl Ordered {
    fn new(names: Vec<String>) -> Self {
        let unknown = names.len() as u32;
        Ordered {
            numbers: (0..unknown).zip(names).rev().map(|(number, name)| (name, number)).collect(),
            unknown,
        }
    }

    fn place(&self, name: &str) -> u32 {
        self.numbers.get(name).copied().unwrap_or(self.unknown)
    }
}

/// Zones and kinds of machines as the settings number them; all unknown ones have the next number.
#[derive(Debug, Clone)]
pub struct Places {
    zones: Ordered,
    kinds: Ordered,
}

impl Places {
    /// Numbers these names in their order, from 0.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        Places { zones: Ordered::new(zones), kinds: Ordered::new(kinds) }
    }

    fn attributes(&self, entry: &Entry) -> Attributes {
        Attributes {
            since_ms: entry.since_ms,
            weight: entry.weight,
            zone: self.zones.place(&entry.zone),
            kind: self.kinds.place(&entry.kind),
            cell: entry.group,
            state: entry.state,
        }
    }
}

/// A whole list, made ready to stand in for what was known.
pub struct Renewed {
    /// What is known from now on.
    pub endpoints: Endpoints,
    /// The list's entries, one for each name, by number.
    pub members: Vec<EndpointEntry>,
    /// App servers whose connections may lead elsewhere now, though it does not show in what is known.
    pub stale: Vec<EndpointId>,
    /// How it differs from what was known; nothing is told of a list of changes.
    pub difference: Difference,
    /// What was wrong with its entries.
    pub faults: Faults,
}

/// All app servers, by number.
#[derive(Debug, Clone)]
pub struct Endpoints {
    numbering: Numbering,
    all: BTreeMap<EndpointId, Endpoint>,
    by_address: BTreeSet<(SocketAddr, EndpointId)>,
    /// Names whose own number was another's when they came.
    displaced: BTreeMap<Arc<str>, EndpointId>,
}

impl Default for Endpoints {
    fn default() -> Self {
        Endpoints::numbered_by(number)
    }
}

impl Endpoints {
    /// None yet, to be numbered like this.
    pub fn numbered_by(numbering: Numbering) -> Self {
        Endpoints { numbering, all: BTreeMap::new(), by_address: BTreeSet::new(), displaced: BTreeMap::new() }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The app server of this number.
    pub fn get(&self, server: EndpointId) -> Option<&Endpoint> {
        self.all.get(&server)
    }

    /// Those that want new work, in the order of their numbers.
    pub fn up(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.all.iter().filter(|(_, e)| e.up()).map(|(&server, _)| server)
    }

    /// The number of the app server of this name, if it is known.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.find_at(name, (self.numbering)(name))
    }

    fn find_at(&self, name: &str, own: EndpointId) -> Option<EndpointId> {
        let is_it = |e: &Endpoint| *e.name == *name;
        self.displaced.get(name).copied().or_else(|| self.all.get(&own).is_some_and(is_it).then_some(own))
    }

    /// Whether another app server was told to be where this one is.
    pub fn shares(&self, server: EndpointId, address: SocketAddr) -> bool {
        self.at(address).any(|other| other != server)
    }

    fn at(&self, address: SocketAddr) -> impl Iterator<Item = EndpointId> + '_ {
        let range = (address, EndpointId(0))..=(address, EndpointId(u64::MAX));
        self.by_address.range(range).map(|&(_, server)| server)
    }

    /// Its own number, or the next that is free both here and in `before`. Danger: two app servers under one
    /// number would share their state, and one that takes the number of another that has gone would inherit it.
    fn free(&self, own: EndpointId, before: &Endpoints) -> EndpointId {
        let mut server = own;
        while self.all.contains_key(&server) || before.all.contains_key(&server) {
            server = EndpointId(server.0.wrapping_add(1));
        }
        server
    }

    fn insert(&mut self, server: EndpointId, own: EndpointId, endpoint: Endpoint) {
        if server != own {
            self.displaced.insert(endpoint.name.clone(), server);
        }
        let address = endpoint.address;
        if let Some(old) = self.all.insert(server, endpoint) {
            self.by_address.remove(&(old.address, server));
        }
        self.by_address.insert((address, server));
    }

    fn remove(&mut self, server: EndpointId) {
        if let Some(old) = self.all.remove(&server) {
            self.by_address.remove(&(old.address, server));
            self.displaced.remove(&old.name);
        }
    }

    /// Takes in one change. Without a usable address the last one stands; with none at all the entry is left out.
    /// `stale` is told of the app servers whose connections may lead elsewhere now.
    pub fn change(
        &mut self,
        entry: &Entry,
        places: &Places,
        stale: &mut Vec<EndpointId>,
        faults: &mut Faults,
    ) -> Option<EndpointEntry> {
        let own = (self.numbering)(&entry.name);
        let known = self.find_at(&entry.name, own);
        let old = known.and_then(|server| self.all.get(&server));
        let attributes = places.attributes(entry);
        if entry.state == EndpointState::Removed {
            let server = known?;
            self.remove(server);
            stale.push(server);
            return Some(attributes.member(server));
        }
        let Some(address) = entry.address.or(old.map(|e| e.address)) else {
            faults.add(format_args!("{} has no usable address", entry.name));
            return None;
        };
        let moved = old.is_none_or(|e| (e.address, e.attributes.since_ms) != (address, entry.since_ms));
        let name = old.map_or(&entry.name, |e| &e.name).clone();
        let server = known.unwrap_or_else(|| self.free(own, self));
        if moved {
            stale.push(server);
        }
        // Danger: a new app server may stand where one that has gone stood. Connections lead to the old one.
        stale.extend(self.at(address).filter(|&other| other != server));
        self.insert(server, own, Endpoint { name, address, attributes });
        Some(attributes.member(server))
    }

    /// What a long list of changes makes of these, worked out beside them.
    pub fn changed(&self, entries: &[Entry], places: &Places) -> Renewed {
        let (mut endpoints, mut stale, mut faults) = (self.clone(), Vec::new(), Faults::default());
        let entries = entries.iter();
        let members = entries.filter_map(|e| endpoints.change(e, places, &mut stale, &mut faults)).collect();
        Renewed { endpoints, members, stale, difference: Difference::default(), faults }
    }

    /// What a whole list makes of these, worked out beside them. Of two entries for one name the later stands, and
    /// what is known keeps its number.
    pub fn renewed(&self, entries: &[Entry], places: &Places) -> Renewed {
        let mut ordered: Vec<_> = entries.iter().map(|e| ((self.numbering)(&e.name), e, e.address)).collect();
        // Stable: entries for one name stay as told.
        ordered.sort_by(|(a, x, _), (b, y, _)| a.cmp(b).then_with(|| x.name.cmp(&y.name)));
        ordered.dedup_by(|(_, later, address), (_, kept, last)| {
            let same = later.name == kept.name;
            if same {
                (*kept, *last) = (*later, address.or(*last));
            }
            same
        });
        let mut new = Endpoints::numbered_by(self.numbering);
        let mut members = Vec::with_capacity(ordered.len());
        let (mut difference, mut faults) = (Difference::default(), Faults::default());
        let (known, unknown): (Vec<_>, Vec<_>) = ordered
            .into_iter()
            .map(|(own, entry, address)| (own, self.find_at(&entry.name, own), entry, address))
            .partition(|(_, known, _, _)| known.is_some());
        // Danger: a new name must not get the number that a known one has.
        for (own, known, entry, address) in known.into_iter().chain(unknown) {
            let old = known.and_then(|server| self.all.get(&server));
            let server = known.unwrap_or_else(|| new.free(own, self));
            let attributes = places.attributes(entry);
            if entry.state == EndpointState::Removed {
                members.extend(known.map(|_| attributes.member(server)));
                continue;
            }
            let Some(address) = address.or(old.map(|e| e.address)) else {
                faults.add(format_args!("{} has no usable address", entry.name));
                continue;
            };
            members.push(attributes.member(server));
            let name = old.map_or(&entry.name, |e| &e.name).clone();
            let endpoint = Endpoint { name, address, attributes };
            match old {
                None => difference.added += 1,
                Some(old) if *old == endpoint => difference.same += 1,
                Some(_) => difference.changed += 1,
            }
            new.insert(server, own, endpoint);
        }
        difference.gone = self.len() - difference.same - difference.changed;
        members.sort_by_key(|m| m.id);
        // Built anew in order they take half the memory of what was put in one by one.
        new.all = new.all.into_iter().collect();
        new.by_address = new.by_address.into_iter().collect();
        Renewed { endpoints: new, members, stale: Vec::new(), difference, faults }
    }

    /// The delta that leads from `before` to these, as the decisions have to be told of it: app servers that are
    /// new, changed, or gone, with what was told of them last. What has changed goes before what has gone, since its
    /// attempts follow the new list at once; both are in the order of ids, and before each stands one that comes into
    /// service, as long as there are any. Danger: told first of all that leave, the decisions would have nowhere to
    /// send to until the others come. So there are never fewer in service than at the start or at the end.
    pub fn delta(&self, before: &Endpoints) -> Vec<EndpointEntry> {
        let (mut coming, mut others) = (Vec::new(), Vec::new());
        for (&server, endpoint) in &self.all {
            let old = before.all.get(&server);
            if old.is_some_and(|old| old.attributes == endpoint.attributes) {
                continue;
            }
            let comes = endpoint.up() && !old.is_some_and(Endpoint::up);
            let kind = if comes { &mut coming } else { &mut others };
            kind.push(endpoint.attributes.member(server));
        }
        let gone = before.all.iter().filter(|(server, _)| !self.all.contains_key(server));
        let out = |(&server, e): (_, &Endpoint)| EndpointEntry {
            state: EndpointState::Removed,
            ..e.attributes.member(server)
        };
        others.extend(gone.map(out));
        let mut delta = Vec::with_capacity(coming.len() + others.len());
        let mut coming = coming.into_iter();
        for member in others {
            delta.extend(coming.next());
            delta.push(member);
        }
        delta.extend(coming);
        delta
    }
}

/// An app server's number, from its name alone so that all nodes agree on it and on the order of all: FNV-1a of
/// the name in the high half; in the low half Jenkins's one-at-a-time, which has nothing in common with it.
/// Danger: with the high half alone two of 46,000 names share a number one time in four.
pub fn number(name: &str) -> EndpointId {
    let fnv = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    let jenkins = |hash: u32, byte: u8| {
        let hash = hash.wrapping_add(byte.into());
        let hash = hash.wrapping_add(hash << 10);
        hash ^ (hash >> 6)
    };
    let high = name.bytes().fold(0x811c_9dc5, fnv);
    let low = name.bytes().fold(0, jenkins);
    let low = low.wrapping_add(low << 3);
    let low = low ^ (low >> 11);
    let low = low.wrapping_add(low << 15);
    EndpointId(u64::from(high) << 32 | u64::from(low))
}
