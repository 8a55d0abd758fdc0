//! The border to where the desired state, the endpoints and orders come from.

use std::rc;

use futures::future;

use super::{directory, fleet_model, route_table};
use crate::ids;

/// News from the source.
#[derive(Debug, Clone)]
pub enum FleetUpdate {
    /// The desired state.
    State(route_table::DesiredState),
    /// All endpoints at a revision of the store.
    Endpoints(u64, Vec<directory::EndpointEntry>),
    /// All endpoints as a peer knows them.
    PeerEndpoints(directory::DirectorySnapshot),
    /// Changes of the endpoints up to a revision of the store.
    EndpointChanges(u64, Vec<directory::EndpointChange>),
    /// The source answers, or does not.
    Reachable(bool),
    /// The source answered a reading beside the watches.
    Responded,
    /// The source answers again after a call of it failed.
    Recovered,
    /// An object could not be read; it names nothing to use.
    Unreadable,
    /// An instance is to be emptied.
    Retire(ids::InstanceId),
}

/// What is to be read anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefreshKind {
    /// The desired state.
    State,
    /// The list of endpoints.
    Endpoints,
}

/// Where the desired state, the endpoints and orders to instances come from.
pub trait FleetSource {
    /// Brings news until the process ends.
    fn run(&self, model: rc::Rc<fleet_model::FleetModel>) -> future::LocalBoxFuture<'static, ()>;

    /// Reads views anew, in case a watch missed something.
    fn refresh(
        &self,
        what: RefreshKind,
        model: rc::Rc<fleet_model::FleetModel>,
    ) -> future::LocalBoxFuture<'static, ()>;

    /// Reports that an instance holds nothing that is needed.
    fn report_emptied(&self, id: ids::InstanceId) -> future::LocalBoxFuture<'static, bool>;
}
