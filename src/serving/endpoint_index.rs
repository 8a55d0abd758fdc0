//! Index of the listed endpoints by name, by address and by service.
//!
//! A change costs what it changes: the number of entries examined does not depend on the
//! number of entries listed, but for a binary search within a service.

use std::{cell, collections, hash, net, rc};

use xxhash_rust::xxh3;

use super::endpoint_entry::{EndpointEntry, ServiceSoftware};
use crate::ids;

/// Entries of the list.
///
/// Invariants: `addresses` holds each entry of `entries` once. Each list of `services` is
/// sorted by name and has no entry that is not in `entries`; `versions` splits these lists. `digest` is the wrapping sum
/// of the hashes of all entries.
#[derive(Debug, Default)]
pub(super) struct EndpointIndex {
    entries: collections::HashMap<ids::EndpointId, rc::Rc<EndpointEntry>>,
    addresses: collections::HashMap<net::SocketAddr, Vec<rc::Rc<EndpointEntry>>>,
    services: collections::HashMap<ids::ServiceName, Vec<rc::Rc<EndpointEntry>>>,
    /// The entries of `services` by software version.
    versions: collections::HashMap<ServiceSoftware, Vec<rc::Rc<EndpointEntry>>>,
    /// Number of entries of each service by software version, those in no service included.
    listed_versions: collections::HashMap<ids::ServiceName, VersionCounts>,
    /// Names of services and domains, and software versions, of which all entries share the
    /// text.
    service_names: collections::HashSet<ids::ServiceName>,
    domain_names: collections::HashSet<ids::DomainName>,
    software_versions: collections::HashSet<ids::SoftwareVersion>,
    digest: u64,
    /// Number of entries that changes have examined so far.
    examined: cell::Cell<u64>,
}

/// Number of entries by software version; `None` for an unknown one.
type VersionCounts = collections::BTreeMap<Option<ids::SoftwareVersion>, usize>;

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
        let listed = self.listed_versions.entry(entry.service.clone());
        let count = listed.or_default().entry(entry.software.clone());
        *count.or_default() += 1;
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
        if let Some(listed) = self.listed_versions.get_mut(&entry.service) {
            if let Some(count) = listed.get_mut(&entry.software) {
                *count -= 1;
            }
            listed.retain(|_, count| *count > 0);
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
        let examined = &self.examined;
        let has_changed = set_listed(
            &mut self.services,
            &entry.service,
            entry,
            is_member,
            examined,
        );
        if let Some(software) = entry.service_software().filter(|_| has_changed) {
            let unexamined = cell::Cell::new(0);
            set_listed(&mut self.versions, &software, entry, is_member, &unexamined);
        }
        has_changed
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

    /// Returns the entries in the list of a service that have a software version, sorted by
    /// name.
    pub(super) fn of_software(&self, software: &ServiceSoftware) -> &[rc::Rc<EndpointEntry>] {
        self.versions.get(software).map_or(&[], Vec::as_slice)
    }

    /// Returns the software versions of all entries of each service, each once.
    pub(super) fn listed_versions(
        &self,
    ) -> impl Iterator<
        Item = (
            &ids::ServiceName,
            impl Iterator<Item = Option<&ids::SoftwareVersion>>,
        ),
    > {
        let services = self.listed_versions.iter();
        services.map(|(service, counts)| (service, counts.keys().map(Option::as_ref)))
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

/// Adds an entry to the list under a key, or removes it from there, and counts the entries
/// examined. Returns whether the list has changed.
fn set_listed<K: Clone + Eq + hash::Hash>(
    lists: &mut collections::HashMap<K, Vec<rc::Rc<EndpointEntry>>>,
    key: &K,
    entry: &rc::Rc<EndpointEntry>,
    is_member: bool,
    examined: &cell::Cell<u64>,
) -> bool {
    let Some(list) = lists.get_mut(key) else {
        if is_member {
            lists.insert(key.clone(), vec![entry.clone()]);
        }
        return is_member;
    };
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
        lists.remove(key);
    }
    true
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
    for text in [id.as_str(), service.as_str(), domain.as_str()] {
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
    if let Some(version) = software {
        hasher.update(version.as_str().as_bytes());
    }
    hasher.digest()
}
