//! Index of the listed endpoints by name, by address and by service.
//!
//! A change costs what it changes: the number of entries examined does not depend on the
//! number of entries listed, but for a binary search within a service.

use std::{cell, collections, hash, net, rc};

use xxhash_rust::xxh3;

use super::endpoint_entry::EndpointEntry;
use crate::ids;

/// Entries of the list.
///
/// Invariants: `addresses` holds each entry of `entries` once. Each list of `services` is
/// sorted by name and has no entry that is not in `entries`. `digest` is the wrapping sum
/// of the hashes of all entries.
#[derive(Debug, Default)]
pub(super) struct EndpointIndex {
    entries: collections::HashMap<ids::EndpointId, rc::Rc<EndpointEntry>>,
    addresses: collections::HashMap<net::SocketAddr, Vec<rc::Rc<EndpointEntry>>>,
    services: collections::HashMap<ids::ServiceName, Vec<rc::Rc<EndpointEntry>>>,
    /// Names of services and domains, and software versions, of which all entries share the
    /// text.
    service_names: collections::HashSet<ids::ServiceName>,
    domain_names: collections::HashSet<ids::DomainName>,
    software_versions: collections::HashSet<ids::SoftwareVersion>,
    digest: u64,
    /// Number of entries that changes have examined so far.
    examined: cell::Cell<u64>,
}

impl EndpointIndex {
    /// Adds or replaces an entry, which is in no service yet. Returns the replaced one.
    pub(super) fn insert(&mut self, mut entry: EndpointEntry) -> Option<rc::Rc<EndpointEntry>> {
        let previous = self.remove(&entry.id);
        entry.service = share(&mut self.service_names, entry.service);
        entry.domain = share(&mut self.domain_names, entry.domain);
        let software = entry.software.take();
        entry.software = software.map(|version| share(&mut self.software_versions, version));
        let entry = rc::Rc::new(entry);
        self.digest = self.digest.wrapping_add(hash_of(&entry));
        let holders = self.addresses.entry(entry.address);
        // Most addresses have one holder, so more room would double the size of the index.
        let holders = holders.or_insert_with(|| Vec::with_capacity(1));
        holders.push(entry.clone());
        self.entries.insert(entry.id.clone(), entry);
        previous
    }

    /// Removes an entry and returns it, if it was listed.
    pub(super) fn remove(&mut self, id: &ids::EndpointId) -> Option<rc::Rc<EndpointEntry>> {
        let entry = self.entries.remove(id)?;
        self.digest = self.digest.wrapping_sub(hash_of(&entry));
        if let Some(holders) = self.addresses.get_mut(&entry.address) {
            self.examined
                .set(self.examined.get() + holders.len() as u64);
            holders.retain(|holder| holder.id != entry.id);
            if holders.is_empty() {
                self.addresses.remove(&entry.address);
            }
        }
        self.set_in_service(&entry, false);
        Some(entry)
    }

    /// Adds an entry to the list of its service, or removes it from there. Returns whether
    /// the list has changed.
    pub(super) fn set_in_service(
        &mut self,
        entry: &rc::Rc<EndpointEntry>,
        is_member: bool,
    ) -> bool {
        let Some(list) = self.services.get_mut(&entry.service) else {
            if is_member {
                let list = vec![entry.clone()];
                self.services.insert(entry.service.clone(), list);
            }
            return is_member;
        };
        let examined = &self.examined;
        let found = list.binary_search_by(|known| {
            examined.set(examined.get() + 1);
            known.id.cmp(&entry.id)
        });
        match (found, is_member) {
            (Ok(_), true) | (Err(_), false) => return false,
            (Ok(position), false) => drop(list.remove(position)),
            (Err(position), true) => list.insert(position, entry.clone()),
        }
        if list.is_empty() {
            self.services.remove(&entry.service);
        }
        true
    }

    /// Returns an entry by its name.
    pub(super) fn get(&self, id: &ids::EndpointId) -> Option<&rc::Rc<EndpointEntry>> {
        self.entries.get(id)
    }

    /// Returns the entries with an address.
    pub(super) fn at(&self, address: &net::SocketAddr) -> &[rc::Rc<EndpointEntry>] {
        let holders = self.addresses.get(address);
        let holders = holders.map_or(&[][..], Vec::as_slice);
        self.examined
            .set(self.examined.get() + holders.len() as u64);
        holders
    }

    /// Returns the entries in the list of a service, sorted by name.
    pub(super) fn of_service(&self, service: &ids::ServiceName) -> &[rc::Rc<EndpointEntry>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all entries.
    pub(super) fn entries(&self) -> impl Iterator<Item = &rc::Rc<EndpointEntry>> {
        self.entries.values()
    }

    /// Returns the number of entries.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns a digest of all entries; equal lists have equal digests.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the number of entries that changes have examined so far.
    pub(super) fn examined(&self) -> u64 {
        self.examined.get()
    }
}

/// Returns the copy of a name that all entries share.
fn share<T: Clone + Eq + hash::Hash>(names: &mut collections::HashSet<T>, name: T) -> T {
    match names.get(&name) {
        Some(known) => known.clone(),
        None => {
            names.insert(name.clone());
            name
        }
    }
}

/// Returns the hash of an entry, which covers all its fields.
fn hash_of(entry: &EndpointEntry) -> u64 {
    let EndpointEntry {
        id,
        service,
        address,
        domain,
        slots,
        leaving,
        started,
        cold_ms,
        software,
    } = entry;
    let mut hasher = xxh3::Xxh3::new();
    let software = software.as_ref().map_or("", ids::SoftwareVersion::as_str);
    for text in [id.as_str(), service.as_str(), domain.as_str(), software] {
        // The length keeps different splits of the same bytes apart.
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    match address.ip() {
        net::IpAddr::V4(ip) => hasher.update(&ip.octets()),
        net::IpAddr::V6(ip) => hasher.update(&ip.octets()),
    }
    hasher.update(&address.port().to_le_bytes());
    hasher.update(&slots.to_le_bytes());
    hasher.update(&[u8::from(*leaving), u8::from(started.is_some())]);
    let started = started.map_or(0, |started| started.0);
    hasher.update(&started.to_le_bytes());
    hasher.update(&cold_ms.to_le_bytes());
    hasher.digest()
}
