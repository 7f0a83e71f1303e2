//! The narrow way in which parts of the network report events to the event loop.

use crate::decision::Event;

/// Receives events for the decisions.
///
/// The counter client and discovery report through this trait, so that neither depends on the event loop that owns
/// them. The upstreams don't need it: the event loop awaits their results.
pub trait EventSink {
    /// Hands an event to the decisions and carries out their actions before it returns, unless it is called while
    /// the actions of an earlier event are carried out: then the event waits for its turn.
    fn send(&self, event: Event);
}
