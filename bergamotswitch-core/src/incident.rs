//! Provides incidents: the numbered events that a host logs. A test compares
//! them with the catalog in `docs/EVENTS.md`.

macro_rules! incidents {
    ($($(#[$doc:meta])* $variant:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// An `Incident` is a kind of log event, identified by a fixed number.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Incident {
            $($(#[$doc])* $variant,)*
        }

        impl Incident {
            /// All incidents, in the order of their numbers.
            pub const ALL: &'static [Incident] = &[$(Incident::$variant,)*];

            /// Get the incident's number, which operators' tools rely on.
            pub const fn number(self) -> u16 {
                match self {
                    $(Incident::$variant => $number,)*
                }
            }

            /// Get the level at which the incident is logged.
            pub const fn level(self) -> Level {
                match self {
                    $(Incident::$variant => Level::$level,)*
                }
            }

            /// Get the text of the log line.
            pub const fn text(self) -> &'static str {
                match self {
                    $(Incident::$variant => $text,)*
                }
            }
        }
    };
}

/// A `Level` is the severity of an incident.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// A normal step of operation.
    Info,
    /// Operation is degraded.
    Warn,
    /// A guarantee of the service is at risk.
    Error,
}

// 1xx process, 2xx requests, 3xx pool owner, 4xx membership, 5xx published
// values, 6xx links, 7xx targets.
incidents! {
    /// The host has started.
    HostStarted = 100, Info, "host started";
    /// A planned stop has started.
    StopBegun = 101, Info, "planned stop started";
    /// A stop signal arrived during a planned stop and was ignored.
    StopRepeated = 102, Warn, "planned stop already in progress, signal ignored";
    /// The host has stopped.
    HostStopped = 103, Info, "host stopped";
    /// The process did not run for a while, so its state may be stale.
    PauseDetected = 104, Warn, "process pause detected, earlier state treated as stale";
    /// Changed settings are in force.
    SettingsReloaded = 105, Info, "settings reloaded";
    /// Changed settings are invalid; the previous settings stay in force.
    SettingsRefused = 106, Error, "changed settings rejected, previous settings kept";
    /// Log lines were dropped because more arrived than the log accepts.
    LinesDropped = 107, Warn, "log lines dropped";
    /// A stopping host no longer accepts callers.
    AdmissionClosed = 108, Info, "no longer accepting callers";
    /// The grace period of a planned stop is nearly over and requests are open.
    GraceEnding = 109, Warn, "grace period nearly over, requests still open";
    /// Inputs waited long for the event loop.
    LoopBehind = 110, Warn, "event loop behind";
    /// A request was refused.
    RequestRefused = 200, Info, "request refused";
    /// A request that must not run twice was lost and may have run.
    RequestLost = 201, Error, "request lost, may have run";
    /// A failed attempt is followed by a retry.
    AttemptRetried = 202, Info, "attempt retried";
    /// A stream was resumed over a new connection.
    StreamResumed = 203, Warn, "stream resumed over a new connection";
    /// A resubmission was attached to the original request.
    ResubmissionAttached = 204, Info, "resubmission attached to its request";
    /// No shard owner is reachable, so the host admits requests within its own
    /// share of the capacity.
    DegradedAdmission = 205, Warn, "no owner reachable, admitting by own fraction";
    /// A request to the gateway has ended.
    RequestEnded = 206, Info, "request ended";
    /// A request is still open although the grace period is nearly over.
    RequestOpen = 207, Warn, "request still open, grace period nearly over";
    /// Requests are refused from now on because their runs crash their targets.
    RequestsQuarantined = 208, Warn, "requests quarantined, their runs crash targets";
    /// Requests are no longer refused as quarantined.
    RequestsReleased = 209, Info, "requests released from quarantine";
    /// A quarantined request is admitted once to see whether it still crashes targets.
    RequestTried = 210, Info, "trial of a quarantined request";
    /// A stream that its caller resumed has continued.
    StreamTakenUp = 211, Info, "stream taken up at its version";
    /// A stream was refused for want of the version that began it.
    StreamVersionMissing = 212, Warn, "stream refused for want of its version";
    /// This host ended a stream that had begun and whose caller was still there.
    StreamCut = 213, Warn, "begun stream ended by this host";
    /// An owner asks its targets which streams they hold, since no host knows one.
    CachesRead = 214, Info, "targets asked which streams they hold";
    /// The host has started to act as owner of a shard.
    OwnershipTaken = 300, Warn, "acting as owner of shard";
    /// The host no longer acts as owner of a shard.
    OwnershipReleased = 301, Info, "no longer owner of shard";
    /// An owner reduces the load on a failing or slow target.
    TargetBackedOff = 302, Warn, "target backed off";
    /// An audit reclaimed a leaked permit.
    PermitReclaimed = 303, Warn, "permit reclaimed by audit";
    /// Requests of a client account above its share of a tier are refused.
    AccountAboveShare = 304, Info, "account above its share refused";
    /// Callers that returned as promised were refused.
    PromisesBroken = 306, Warn, "promises to returning callers broken";
    /// Requests of a shard were not served; counts by tier and size.
    RequestSizes = 309, Info, "requests by size";
    /// A peer is reachable again.
    PeerReachable = 400, Info, "peer reachable";
    /// A peer has missed its heartbeats.
    PeerUnreachable = 401, Warn, "peer unreachable";
    /// The set of usable hosts has changed.
    HostsChanged = 402, Info, "set of usable hosts changed";
    /// A peer that this host considered the owner of a shard does not act for it.
    OwnershipDenied = 403, Info, "peer does not act as owner of shard";
    /// A peer acts for a shard for which this host acts as well.
    OwnershipContested = 404, Warn, "peer acts as owner of the same shard";
    /// A new revision of a published value is in force.
    RevisionAdopted = 500, Info, "revision in force";
    /// A revision was rejected; the last valid one stays in force.
    RevisionRefused = 501, Error, "revision rejected, last valid one kept";
    /// A source offered a revision older than the one in force.
    RevisionStale = 502, Warn, "source offered a lower revision";
    /// The configuration service cannot be read.
    ServiceUnreachable = 503, Warn, "configuration service unreachable";
    /// No peer was available at the start to confirm the latest revisions.
    StartedWithoutPeer = 504, Warn, "no peer to confirm revisions at start, service may be stale";
    /// The routes, and with them the API keys, were not confirmed in time.
    KeysUnconfirmed = 505, Warn, "latest routes not confirmed in time, keys not trusted";
    /// The routes were confirmed again, so API keys are trusted.
    KeysConfirmed = 506, Info, "latest routes confirmed, keys trusted again";
    /// The configuration service is reachable again.
    ServiceReachable = 507, Info, "configuration service reachable again";
    /// A published item could not be parsed and was skipped.
    EntryUnreadable = 508, Error, "published item unreadable, skipped";
    /// A call to the configuration service failed.
    ServiceCallFailed = 509, Info, "call to the configuration service failed";
    /// The configuration service was restored from a copy, so that its revisions went back.
    ServiceRestored = 510, Warn, "configuration service restored from a copy";
    /// The newest routes could not be parsed, so the earlier ones are not confirmed any more.
    RoutesUnreadable = 511, Error, "latest routes unreadable, earlier ones not confirmed";
    /// A connection from or to a peer was refused.
    PeerRefused = 600, Error, "peer refused";
    /// A connection was closed because the other side did not respond.
    ConnectionSilent = 700, Warn, "connection unresponsive, closed";
    /// An answer from a target was truncated, invalid or for another request.
    AnswerRejected = 701, Error, "answer truncated, invalid or for another request";
    /// A target sent no answer, or no event of a stream, in time.
    RunStalled = 702, Info, "run stalled";
    /// A target named a limit of its request rate, or another one than before.
    TargetLimited = 703, Warn, "target limits its request rate";
    /// A target no longer names a limit of its request rate.
    TargetUnlimited = 704, Info, "target no longer limits its request rate";
    /// This host could not establish a connection to a target.
    ConnectFailed = 705, Info, "connection to target failed";
    /// This host reaches a target only through another host.
    PathLost = 706, Warn, "path to target lost, calls go through another host";
    /// This host reaches a target directly again.
    PathRegained = 707, Info, "path to target restored";
    /// This host reaches no target directly.
    AllPathsLost = 708, Warn, "paths to all targets lost, calls go through another host";
    /// This host reaches targets directly again.
    AllPathsRegained = 709, Info, "paths to targets restored";
    /// A target said in an answer that it leaves.
    TargetLeaving = 710, Info, "target says that it leaves";
    /// A target refused a request and wants nothing from this host for a while.
    TargetResting = 711, Info, "target asks for rest";
    /// A target said that it falls over if it has to turn many requests away.
    TargetBrittle = 712, Warn, "target is brittle";
    /// A target no longer says that it is brittle.
    TargetSturdy = 713, Info, "target is no longer brittle";
    /// A target is cold, so its owner limits its request rate.
    TargetCold = 714, Info, "target is cold, request rate limited";
    /// A target is no longer cold.
    TargetWarm = 715, Info, "target is warm";
    /// A failure domain is evacuated: its targets get no new requests.
    DomainEvacuated = 716, Warn, "failure domain evacuated";
    /// An evacuated failure domain is taken back.
    DomainTakenBack = 717, Info, "failure domain taken back";
    /// A target named a momentary pace that could not be read.
    PaceMalformed = 718, Warn, "target names an unreadable pace";
    /// Idle connections to targets were closed to stay within a limit.
    IdleConnectionsClosed = 719, Info, "idle connections to targets closed";
}
