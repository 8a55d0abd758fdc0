//! Whether a request may be served, by the key that it carries.

/// How up to date the view of keys is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyFreshness {
    /// No newer desired state is known of, and the source is followed.
    Current,
    /// A newer desired state may be in force elsewhere.
    Stale,
}

/// Outcome for a request, with the workspace `W` that it is served for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyVerdict<W> {
    /// Served, for no workspace.
    Anonymous,
    /// Served for a workspace.
    Workspace(W),
    /// Rejected: no desired state in force has the key.
    Unauthorized,
    /// Not served here: a newer desired state may have the key.
    Undecided,
}

/// What is known of a request's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyMatch<W> {
    /// The request has no key, or none that can be read.
    NoKey,
    /// The desired state in force has no such key.
    Unknown,
    /// The key belongs to a workspace.
    Known(W),
}

/// Decides on a request. `is_public`: its route needs no key.
pub fn authenticate<W>(found: KeyMatch<W>, is_public: bool, view: KeyFreshness) -> KeyVerdict<W> {
    match (found, view) {
        (KeyMatch::Known(workspace), _) => KeyVerdict::Workspace(workspace),
        (KeyMatch::NoKey | KeyMatch::Unknown, _) if is_public => KeyVerdict::Anonymous,
        (KeyMatch::NoKey, _) | (KeyMatch::Unknown, KeyFreshness::Current) => {
            KeyVerdict::Unauthorized
        }
        // Callers give up at 401, but try another gateway at 503.
        (KeyMatch::Unknown, KeyFreshness::Stale) => KeyVerdict::Undecided,
    }
}
