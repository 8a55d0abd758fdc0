//! The endpoints that are listed, and what is believed of each.

use std::{collections, fmt, net, rc};

use xxhash_rust::xxh3;

use crate::{clock, ids, protection};

/// One listed endpoint.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndpointEntry {
    /// Its name; a restart is a new endpoint.
    pub id: ids::EndpointId,
    /// The service that it runs.
    pub service: ids::ServiceName,
    /// Where it is.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave and gets no new work.
    pub leaving: bool,
}

/// One change of the list.
#[derive(Debug, Clone)]
pub enum ListChange {
    /// The endpoint is listed like this.
    Listed(EndpointEntry),
    /// The endpoint is listed no more.
    Removed(ids::EndpointId),
}

impl fmt::Display for ListChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listed(entry) => write!(
                f,
                "change=listed endpoint={} service={} address={} domain={} slots={} leaving={}",
                entry.id, entry.service, entry.address, entry.domain, entry.slots, entry.leaving
            ),
            Self::Removed(id) => write!(f, "change=removed endpoint={id}"),
        }
    }
}

/// An entry that lapsed while the store was away, and when it counts as gone.
#[derive(Debug, Clone, Copy)]
struct LapsedMark {
    gone_at: clock::Moment,
}

/// All listed endpoints.
///
/// Invariants: `services` names exactly the entries of `entries` that may get
/// new work; `digest` is of all of `entries`.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    entries: collections::HashMap<ids::EndpointId, rc::Rc<EndpointEntry>>,
    lapsed: collections::HashMap<ids::EndpointId, LapsedMark>,
    services: collections::HashMap<ids::ServiceName, Vec<rc::Rc<EndpointEntry>>>,
    /// See [`Self::digest`]; made anew with each change, as each probe tells it.
    digest: u64,
}

impl EndpointDirectory {
    /// Takes changes; a removal takes effect at `gone_at`, or at once without it.
    pub fn apply(&mut self, changes: Vec<ListChange>, gone_at: Option<clock::Moment>) {
        for change in changes {
            self.apply_one(change, gone_at);
        }
        self.rebuild();
    }

    fn apply_one(&mut self, change: ListChange, gone_at: Option<clock::Moment>) {
        match change {
            ListChange::Listed(mut entry) => {
                entry.leaving &= !protection::is_out("leaving_endpoint");
                self.lapsed.remove(&entry.id);
                self.entries.insert(entry.id.clone(), rc::Rc::new(entry));
            }
            ListChange::Removed(id) => match gone_at {
                Some(gone_at) if self.entries.contains_key(&id) => {
                    self.lapsed.entry(id).or_insert(LapsedMark { gone_at });
                }
                _ => {
                    self.entries.remove(&id);
                    self.lapsed.remove(&id);
                }
            },
        }
    }

    /// The changes that lead from this list to a whole one.
    pub fn changes_to(&self, entries: Vec<EndpointEntry>) -> Vec<ListChange> {
        let listed: collections::HashSet<_> = entries.iter().map(|e| e.id.clone()).collect();
        let missing = self.entries.keys().filter(|id| !listed.contains(*id));
        let removed: Vec<_> = missing.cloned().map(ListChange::Removed).collect();
        let is_new = |entry: &EndpointEntry| {
            let known = self.entries.get(&entry.id);
            known.is_none_or(|k| **k != *entry) || self.lapsed.contains_key(&entry.id)
        };
        let changed = entries.into_iter().filter(is_new).map(ListChange::Listed);
        removed.into_iter().chain(changed).collect()
    }

    /// Lets the entries that lapsed come back until `gone_at`.
    pub fn keep_lapsed(&mut self, gone_at: clock::Moment) {
        for mark in self.lapsed.values_mut() {
            mark.gone_at = gone_at;
        }
    }

    /// Removes the lapsed entries whose time is over; says whether there were any.
    pub fn expire(&mut self, now: clock::Moment) -> bool {
        let over = self.lapsed.iter().filter(|(_, mark)| mark.gone_at <= now);
        let over: Vec<_> = over.map(|(id, _)| id.clone()).collect();
        for id in &over {
            self.lapsed.remove(id);
            self.entries.remove(id);
        }
        if !over.is_empty() {
            self.rebuild();
        }
        !over.is_empty()
    }

    fn rebuild(&mut self) {
        self.services.clear();
        for entry in self.entries.values().filter(|e| !e.leaving) {
            let list = self.services.entry(entry.service.clone()).or_default();
            list.push(entry.clone());
        }
        for list in self.services.values_mut() {
            list.sort_by(|a, b| a.id.cmp(&b.id));
        }
        let numbers = self.entries.values().map(|entry| {
            let text = format!("{} {} {}", entry.id, entry.address, entry.leaving);
            xxh3::xxh3_64(text.as_bytes())
        });
        self.digest = numbers.fold(0, u64::wrapping_add);
    }

    /// Endpoints of a service that may get new work, by name.
    pub fn of_service(&self, service: &ids::ServiceName) -> &[rc::Rc<EndpointEntry>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// An endpoint, if it may get new work.
    pub fn usable(&self, id: &ids::EndpointId) -> Option<&rc::Rc<EndpointEntry>> {
        self.entries.get(id).filter(|e| !e.leaving)
    }

    /// All entries, leaving ones included.
    pub fn entries(&self) -> impl Iterator<Item = &rc::Rc<EndpointEntry>> {
        self.entries.values()
    }

    /// A number that differs for lists that differ.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// A list as it is told between processes.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct DirectoryCopy {
    /// Its number, see [`super::fleet_model::FleetModel::revision`].
    pub revision: u64,
    /// The entries.
    pub entries: Vec<EndpointEntry>,
}
