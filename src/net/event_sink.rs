//! The trait through which the counter client and discovery report events to the event loop.

use crate::decision::Event;

/// Receives events for the decision engine.
///
/// The counter client and discovery use this trait so that they don't depend on the event loop, which owns
/// them. The upstreams don't need it, because the event loop awaits their results.
pub trait EventSink {
    /// Passes an event to the decision engine and carries out the resulting actions before it returns. If it
    /// is called while the actions of an earlier event are being carried out, it queues the event and
    /// returns.
    fn send(&self, event: Event);
}
