//! Why sessions end and upgrades are rejected, with the code of each reason in log lines.

macro_rules! end_reasons {
    ($($(#[$doc:meta])* $name:ident = $code:literal,)*) => {
        /// Why a session ended or an upgrade was rejected.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum EndReason { $($(#[$doc])* $name,)* }

        impl EndReason {
            /// The code that stands for the reason in log lines.
            pub fn code(self) -> &'static str {
                match self { $(EndReason::$name => $code,)* }
            }
        }
    };
}

end_reasons! {
    /// The gateway has as many sessions as it may have.
    TooManySessions = "sessions-full",
    /// The party has as many sessions as it may have.
    TooManyForParty = "party-full",
    /// Another session took over the same key less than [`Limits::takeover_cooldown`](crate::Limits) ago.
    KeyContested = "key-contested",
    /// An upgrade with the same key may already have run on a server and must not run twice.
    KeyOpening = "key-opening",
    /// The gateway is shutting down.
    Stopping = "stopping",
    /// A later upgrade with the same key took the session's place.
    Replaced = "replaced",
    /// The session's build had more open sessions than its share.
    OverShare = "over-share",
    /// The session's server is draining.
    Drain = "drain",
    /// The server is gone, or another process runs under its id.
    ServerGone = "gone",
    /// A reload lowered a limit.
    OverLimit = "over-limit",
    /// A reload removed the session's profile, or all profiles, from those that may be upgraded.
    UpgradeDisabled = "not-upgraded",
    /// The client sent a close frame.
    ClientClosed = "client-closed",
    /// The server sent a close frame.
    ServerClosed = "server-closed",
    /// The client's connection ended without a close frame.
    ClientDisconnected = "client-left",
    /// The server's connection ended without a close frame.
    ServerDisconnected = "server-broke",
    /// Nothing was received from the client within the silence time-out.
    ClientSilent = "client-silent",
    /// Nothing was received from the server within the silence time-out.
    ServerSilent = "server-silent",
    /// The client did not read the data that waited for it within the write time-out.
    ClientSlow = "client-slow",
    /// The server did not read the data that waited for it within the write time-out.
    ServerSlow = "server-slow",
    /// The client sent an invalid frame.
    ClientProtocolError = "client-fault",
    /// The server sent an invalid frame.
    ServerProtocolError = "server-fault",
    /// No message was exchanged within the idle time-out.
    Idle = "idle",
    /// The closing handshake did not finish within the close time-out.
    CloseTimeout = "close-late",
}
