//! Interface to the source of the desired state, the endpoints, the evacuations and the
//! retirements.

use std::rc;

use futures::future;

use super::{directory, evacuations, fleet_model, route_table};
use crate::ids;

/// Update from the source or a peer.
#[derive(Debug, Clone)]
pub enum FleetUpdate {
    /// The desired state.
    State(route_table::DesiredState),
    /// All endpoints at a revision of the store.
    Endpoints(u64, Vec<directory::EndpointEntry>),
    /// The list of a peer, or what has changed there.
    PeerEndpoints(directory::DirectoryUpdate),
    /// Changes of the endpoints up to a revision of the store.
    EndpointChanges(u64, Vec<directory::EndpointChange>),
    /// The source delivers evacuations, so nothing is served before they are known.
    EvacuationsExpected,
    /// The evacuated failure domains, from the source or a peer.
    Evacuations(evacuations::EvacuationSet),
    /// Whether the source responds.
    Reachable(bool),
    /// The source responded to a read other than a watch.
    Responded,
    /// All changes of the desired state in the source were applied; contains
    /// [`fleet_model::FleetModel::follow_number`] as of the start of the read.
    StateRead(u64),
    /// The source responds again after a failed call.
    Recovered,
    /// An object of the store could not be read and is ignored.
    Unreadable,
    /// An instance is to be drained.
    Retire(ids::InstanceId),
}

/// Kind of state to read again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefreshKind {
    /// The desired state.
    State,
    /// The list of endpoints.
    Endpoints,
    /// The evacuated failure domains.
    Evacuations,
}

/// Source of the desired state, the endpoints and the retirements of instances.
pub trait FleetSource {
    /// Delivers updates to the model until the process ends.
    fn run(&self, model: rc::Rc<fleet_model::FleetModel>) -> future::LocalBoxFuture<'static, ()>;

    /// Reads state again, in case a watch missed a change.
    fn refresh(
        &self,
        what: RefreshKind,
        model: rc::Rc<fleet_model::FleetModel>,
    ) -> future::LocalBoxFuture<'static, ()>;

    /// Reports that an instance holds nothing that is still needed.
    fn report_emptied(&self, id: ids::InstanceId) -> future::LocalBoxFuture<'static, bool>;
}
