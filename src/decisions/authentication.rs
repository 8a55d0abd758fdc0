//! Authentication of a request by the API key that it carries.

/// Whether the known API keys are up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyFreshness {
    /// No newer desired state is known, and this process is receiving updates.
    Current,
    /// A newer desired state may be active elsewhere.
    Stale,
}

/// Outcome of authentication, with the type `W` of the workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyVerdict<W> {
    /// The request is served without a workspace.
    Anonymous,
    /// The request is served for a workspace.
    Workspace(W),
    /// The request is rejected: the active desired state does not contain the key.
    Unauthorized,
    /// The request is not served by this gateway: a newer desired state may contain the key.
    Undecided,
}

/// Result of looking up a request's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyMatch<W> {
    /// The request has no key, or a malformed one.
    NoKey,
    /// The active desired state does not contain the key.
    Unknown,
    /// The key belongs to a workspace.
    Known(W),
}

/// Authenticates a request. `is_public` means that its route needs no key.
pub fn authenticate<W>(
    found: KeyMatch<W>,
    is_public: bool,
    freshness: KeyFreshness,
) -> KeyVerdict<W> {
    match (found, freshness) {
        (KeyMatch::Known(workspace), _) => KeyVerdict::Workspace(workspace),
        (KeyMatch::NoKey | KeyMatch::Unknown, _) if is_public => KeyVerdict::Anonymous,
        (KeyMatch::NoKey, _) | (KeyMatch::Unknown, KeyFreshness::Current) => {
            KeyVerdict::Unauthorized
        }
        // Undecided becomes a 503, on which callers try another gateway; on a 401 they give up.
        (KeyMatch::Unknown, KeyFreshness::Stale) => KeyVerdict::Undecided,
    }
}
