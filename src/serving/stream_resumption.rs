//! Decides at which software version a caller's stream goes on.

use std::{rc, time};

use super::{
    context, continuations, directory, origin_exchange, relay, route_table, start_check,
    stream_origins, wire,
};
use crate::{clock, ids};

/// Longest time that a resume waits for processes that may know the origin of its stream.
const MAX_HOLD: time::Duration = time::Duration::from_secs(1);
/// Share of its remaining time that it waits; the rest is for its run.
const HOLD_SHARE: f64 = 0.25;
/// Interval between two questions to these processes.
const ASK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// `Retry-After` while no endpoint of the software version is listed: one that starts again is
/// away for about as long.
const RESTART_TIME: time::Duration = time::Duration::from_secs(1);

/// Why a stream is not resumed. It did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ResumeDenial {
    /// No process knows which software version began the stream.
    #[error("the software version that began the stream is unknown")]
    Unknown,
    /// A process that may know it does not answer.
    #[error("processes that may know which software version began the stream do not answer")]
    Unanswered,
    /// The route leads to other services than the one that began the stream.
    #[error("the route no longer leads to the service that began the stream")]
    ServiceChanged,
    /// No endpoint of the software version is listed.
    #[error("no endpoint has the software version that began the stream")]
    VersionGone,
}

impl ResumeDenial {
    /// Returns the reason under which a refusal is counted.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unknown => "origin_unknown",
            Self::Unanswered => "origin_unanswered",
            Self::ServiceChanged => "service_changed",
            Self::VersionGone => "software_gone",
        }
    }

    /// Returns after which time the caller may retry. What nobody knows will not be known
    /// later; by the timeout of the route the caller has given the stream up.
    pub fn retry_after(self, route: &route_table::Route) -> time::Duration {
        match self {
            Self::Unknown | Self::ServiceChanged => route.timeout,
            Self::Unanswered => route.objective,
            Self::VersionGone => RESTART_TIME,
        }
    }
}

/// Returns whether a caller resumes a stream with its request.
pub(super) fn is_resumed(request: &relay::CallerRequest) -> bool {
    let terms = &request.terms;
    terms.resume_after.is_some() || terms.resumes != wire::ResumedStream::Unnamed
}

/// Returns where the stream began that a caller resumes.
///
/// # Errors
/// It is unknown, or the route does not lead there.
pub(super) async fn resolve(
    context: &rc::Rc<context::ProcessContext>,
    request: &relay::CallerRequest,
) -> Result<stream_origins::StreamOrigin, ResumeDenial> {
    let begun = clock::BootInstant::now();
    let result = find_origin(context, request, begun).await;
    let (outcome, source, software) = match &result {
        Ok((origin, source)) => ("known", *source, origin.software.to_string()),
        Err(denial) => (denial.label(), "-", "-".to_owned()),
    };
    let counters = &context.metrics.stream_resumes;
    let label = if result.is_ok() { source } else { outcome };
    counters.with_label_values(&[label]).inc();
    let age_ms = result.as_ref().map_or(-1, |(origin, _)| {
        clock::epoch_ms().saturating_sub(origin.began_ms) as i64
    });
    log::info!(
        "event=stream_resumed request={} resumes={} route={} after={} outcome={outcome} source={source} software={software} age_ms={age_ms} waited_ms={}",
        request.terms.id.as_deref().unwrap_or("-"),
        request.terms.resumes,
        request.route.name,
        relay::event_label(request.terms.resume_after),
        begun.elapsed().as_millis(),
    );
    result.map(|(origin, _)| origin)
}

async fn find_origin(
    context: &rc::Rc<context::ProcessContext>,
    request: &relay::CallerRequest,
    begun: clock::BootInstant,
) -> Result<(stream_origins::StreamOrigin, &'static str), ResumeDenial> {
    use origin_exchange::FoundOrigin as F;

    let time_left = request.deadline.duration_since(begun);
    let hold = MAX_HOLD.min(time_left.mul_f64(HOLD_SHARE));
    let (key, is_named) = match &request.terms.resumes {
        wire::ResumedStream::Named(name) => (stream_key(request, name), true),
        _ => (ids::StreamKey::random(), false),
    };
    let sure = || sure_origin(context, request).map(|origin| (origin, "sole"));
    loop {
        // Without a name, only the history of the versions tells where the stream began.
        if !is_named {
            if let Some(origin) = sure() {
                return Ok(origin);
            }
            if !has_sole_target(context, request) {
                return Err(ResumeDenial::Unknown);
            }
        }
        // A holder may know of a version that the list does not show here yet.
        match origin_exchange::search(context, key).await {
            F::Known { record, source } => {
                start_check::check_origin(context, &record.origin).await;
                return check(context, request, record.origin).map(|origin| (origin, source));
            }
            F::Unknown => return sure().ok_or(ResumeDenial::Unknown),
            F::Unanswered => {
                if let Some(origin) = sure() {
                    return Ok(origin);
                }
                if begun.elapsed() >= hold {
                    return Err(ResumeDenial::Unanswered);
                }
                tokio::time::sleep(ASK_INTERVAL).await;
            }
        }
    }
}

/// Returns the key of the stream whose first event was sent to a request of the same workspace.
pub(super) fn stream_key(
    request: &relay::CallerRequest,
    name: &ids::RequestName,
) -> ids::StreamKey {
    ids::StreamKey::of(request.workspace.as_ref(), name)
}

/// Returns the origin of all streams of a target of the route, if it is the same for all of
/// them. Of several such targets, one is drawn as for a new request.
fn sure_origin(
    context: &context::ProcessContext,
    request: &relay::CallerRequest,
) -> Option<stream_origins::StreamOrigin> {
    let route = &request.route;
    let sure = |service| origin_exchange::sure_version(context, service, route.timeout);
    let mut targets = route.active_targets();
    if !targets.all(|target| sure(&target.service).is_some()) {
        return None;
    }
    let service = route.draw_service()?;
    Some(stream_origins::StreamOrigin {
        software: directory::ServiceSoftware {
            version: sure(&service)?,
            service,
        },
        run: None,
        began_ms: clock::epoch_ms(),
        is_unlisted: false,
    })
}

/// Returns whether a service of the route has one software version at present.
fn has_sole_target(context: &context::ProcessContext, request: &relay::CallerRequest) -> bool {
    let directory = context.fleet.directory.borrow();
    let mut targets = request.route.active_targets();
    targets.any(|target| directory.versions().sole(&target.service).is_some())
}

/// Checks that a stream may go on where it began.
fn check(
    context: &context::ProcessContext,
    request: &relay::CallerRequest,
    origin: stream_origins::StreamOrigin,
) -> Result<stream_origins::StreamOrigin, ResumeDenial> {
    let software = &origin.software;
    if !continuations::is_origin_certain(context, &origin) {
        return Err(ResumeDenial::Unknown);
    }
    if !request.route.leads_to(&software.service) {
        return Err(ResumeDenial::ServiceChanged);
    }
    Ok(origin)
}
