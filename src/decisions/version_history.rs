//! History of the software versions of each service's endpoints.
//!
//! Where all listed endpoints have had one version for longer than a stream may last, every
//! stream of the service began at it, whoever relayed its first event.

use std::collections;

use crate::{clock, ids};

/// The only software version of the endpoints of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoleVersion {
    /// The version.
    pub version: ids::SoftwareVersion,
    /// When an endpoint of another version was last listed, or the first time from which the
    /// list is known.
    pub since: clock::MonotonicTime,
}

/// Change of the versions of a service that is worth a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionChange {
    /// All its endpoints have this version from now on.
    Sole(ids::SoftwareVersion),
    /// Its endpoints have several versions, or unknown ones, from now on.
    Mixed,
}

/// Software versions of the services, by what was listed.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// The only version of each service, `None` for a service with several ones.
    services: collections::HashMap<ids::ServiceName, Option<SoleVersion>>,
    /// Whether no endpoint was listed before the first one that was observed.
    is_complete: bool,
    /// What an earlier run of the process knew, until the service is first observed.
    restored: collections::HashMap<ids::ServiceName, SoleVersion>,
}

impl VersionHistory {
    /// Records that nothing ran before this process: the first versions of the services are
    /// those that they have always had.
    pub fn set_complete(&mut self) {
        self.is_complete = true;
    }

    /// Restores what an earlier run of the process knew of a service that is not yet observed.
    pub fn restore(&mut self, service: &ids::ServiceName, sole: SoleVersion) {
        self.restored.insert(service.clone(), sole);
    }

    /// Records the versions of all endpoints that are listed for a service, each once; `None`
    /// stands for an unknown one. A service without endpoints keeps its history.
    pub fn observe<'a>(
        &mut self,
        service: &ids::ServiceName,
        versions: impl IntoIterator<Item = Option<&'a ids::SoftwareVersion>>,
        now: clock::MonotonicTime,
    ) -> Option<VersionChange> {
        let mut versions = versions.into_iter();
        let first = versions.next()?;
        let sole = first.filter(|_| versions.next().is_none());
        let known = self.services.get(service);
        let known_sole = known.map(|sole| sole.as_ref().map(|sole| &sole.version));
        if known_sole == Some(sole) {
            return None;
        }
        let restored = self.restored.remove(service);
        let restored = restored.filter(|restored| Some(&restored.version) == sole);
        let since = match known {
            None if self.is_complete => clock::MonotonicTime::default(),
            None => restored.map_or(now, |restored| restored.since),
            Some(_) => now,
        };
        let history = sole.map(|version| SoleVersion {
            version: version.clone(),
            since,
        });
        self.services.insert(service.clone(), history);
        Some(match sole {
            Some(version) => VersionChange::Sole(version.clone()),
            None => VersionChange::Mixed,
        })
    }

    /// Returns the only version of a service, if its endpoints have one.
    pub fn sole(&self, service: &ids::ServiceName) -> Option<&SoleVersion> {
        self.services.get(service)?.as_ref()
    }

    /// Returns the services whose endpoints have one version.
    pub fn all_sole(&self) -> impl Iterator<Item = (&ids::ServiceName, &SoleVersion)> {
        let services = self.services.iter();
        services.filter_map(|(service, sole)| Some((service, sole.as_ref()?)))
    }

    /// Extends the time for which a service has had one version by what another process, or
    /// an earlier run of this one, knows. Returns whether it knew of a longer time.
    pub fn inherit(&mut self, service: &ids::ServiceName, earlier: &SoleVersion) -> bool {
        let Some(Some(sole)) = self.services.get_mut(service) else {
            return false;
        };
        let is_longer = sole.version == earlier.version && earlier.since < sole.since;
        if is_longer {
            sole.since = earlier.since;
        }
        is_longer
    }
}
