//! Provides incidents: the numbered events that a host logs. The catalogue
//! stands in `docs/EVENTS.md`; a test keeps both alike.

macro_rules! incidents {
    ($($(#[$doc:meta])* $variant:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// An `Incident` is a numbered event worth a line in the log.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Incident {
            $($(#[$doc])* $variant,)*
        }

        impl Incident {
            /// Every incident, by number.
            pub const ALL: &'static [Incident] = &[$(Incident::$variant,)*];

            /// Get the number.
            pub const fn number(self) -> u16 {
                match self {
                    $(Incident::$variant => $number,)*
                }
            }

            /// Get the level.
            pub const fn level(self) -> Level {
                match self {
                    $(Incident::$variant => Level::$level,)*
                }
            }

            /// Get the message.
            pub const fn text(self) -> &'static str {
                match self {
                    $(Incident::$variant => $text,)*
                }
            }
        }
    };
}

/// A `Level` is how much an incident matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// A step worth following.
    Info,
    /// Something works less well.
    Warn,
    /// A promise is at risk.
    Error,
}

// 1xx daemon, 2xx requests, 3xx pool owner, 4xx membership, 5xx published
// values, 6xx links, 7xx targets.
incidents! {
    /// The host has started.
    HostStarted = 100, Info, "host started";
    /// A planned stop has begun.
    StopBegun = 101, Info, "planned stop begun";
    /// A further stop signal changes nothing.
    StopRepeated = 102, Warn, "stop already under way, signal changes nothing";
    /// The host has stopped.
    HostStopped = 103, Info, "host stopped";
    /// The process was paused.
    PauseDetected = 104, Warn, "process was paused, checking everything again";
    /// Changed settings are in force.
    SettingsReloaded = 105, Info, "settings reloaded";
    /// Changed settings cannot be used.
    SettingsRefused = 106, Error, "changed settings refused, the earlier ones stay";
    /// Log lines were left out.
    LinesDropped = 107, Warn, "log lines left out";
    /// A stopping host takes no further callers.
    AdmissionClosed = 108, Info, "no further callers taken";
    /// The time that a planned stop may last is nearly over.
    GraceEnding = 109, Warn, "grace nearly over, requests still open";
    /// A request was refused.
    RequestRefused = 200, Info, "request refused";
    /// A request that must not run twice was lost.
    RequestLost = 201, Error, "request lost, may have run";
    /// An attempt is followed by another one.
    AttemptRetried = 202, Info, "attempt retried";
    /// A stream goes on over a new connection.
    StreamResumed = 203, Warn, "stream resumed over a new connection";
    /// A resubmission was attached to its request.
    ResubmissionAttached = 204, Info, "resubmission attached to its request";
    /// The host admits by itself, with its fraction of capacity.
    DegradedAdmission = 205, Warn, "no owner reachable, admitting by own fraction";
    /// A request of the gateway has ended.
    RequestEnded = 206, Info, "request ended";
    /// A request was still open when the grace was nearly over.
    RequestOpen = 207, Warn, "request still open, grace nearly over";
    /// This host now acts as owner.
    OwnershipTaken = 300, Warn, "acting as owner of shard";
    /// This host no longer acts as owner.
    OwnershipReleased = 301, Info, "no longer owner of shard";
    /// An owner takes work off a target that fails or has slowed.
    TargetBackedOff = 302, Warn, "target backed off";
    /// A leaked permit was taken back by audit.
    PermitReclaimed = 303, Warn, "permit reclaimed by audit";
    /// A peer was heard again.
    PeerReachable = 400, Info, "peer reachable";
    /// A peer is silent.
    PeerUnreachable = 401, Warn, "peer unreachable";
    /// The hosts that are counted on have changed.
    HostsChanged = 402, Info, "hosts counted on have changed";
    /// A revision is in force.
    RevisionAdopted = 500, Info, "revision in force";
    /// A revision was refused, the last good one stays.
    RevisionRefused = 501, Error, "revision refused, last good one stays";
    /// A source offered a lower revision.
    RevisionStale = 502, Warn, "source offers a lower revision";
    /// The service cannot be read.
    ServiceUnreachable = 503, Warn, "configuration service unreachable";
    /// Started without a peer that could vouch for the revisions.
    StartedWithoutPeer = 504, Warn, "started alone, service may be stale";
    /// Keys are not relied on any more.
    KeysUnconfirmed = 505, Warn, "newest routes not confirmed in time, keys not relied on";
    /// Keys are relied on again.
    KeysConfirmed = 506, Info, "newest routes confirmed, keys relied on";
    /// The store answers again.
    ServiceReachable = 507, Info, "configuration service reachable again";
    /// An item of the store cannot be read.
    EntryUnreadable = 508, Error, "published item not readable, passed over";
    /// A call to the store brought nothing.
    ServiceCallFailed = 509, Info, "call to the configuration service failed";
    /// A peer was refused.
    PeerRefused = 600, Error, "peer refused";
    /// A connection was silent and given up.
    ConnectionSilent = 700, Warn, "connection silent, given up";
    /// A target's answer was not whole or not its own.
    AnswerRejected = 701, Error, "answer not whole or crossed";
    /// A stream that has begun pauses for so long that its target may be gone.
    StreamStalled = 702, Info, "stream pauses";
}
