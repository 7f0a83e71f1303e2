//! The calls queued for one connection to the counter service, and what is to become of the connection.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::net::counter::late_replies::LateReplies;
use crate::net::counter::resp::Increment;

/// A queued call, which has not been encoded for sending yet.
pub(super) struct QueuedCall {
    pub(super) increment: Increment,
    /// When the call was made; its timeout starts here.
    pub(super) made_at: Instant,
}

/// A connection to the counter service and the queue of calls for it. It is opened when the queue holds a
/// call.
#[derive(Default)]
pub(super) struct CounterConnection {
    pub(super) queue: RefCell<VecDeque<QueuedCall>>,
    /// Signalled when a call was queued or `retired` was set.
    pub(super) wake: Notify,
    /// Whether the counter service has moved to another address. Calls in flight are still completed on this
    /// connection, and no new call is started on it.
    pub(super) retired: Cell<bool>,
    late_replies: RefCell<Option<Rc<LateReplies>>>,
}

impl CounterConnection {
    /// Returns the calls that were sent on a replaced connection, while their replies may still arrive on it.
    pub(super) fn late_replies(&self) -> Option<Rc<LateReplies>> {
        self.late_replies.borrow().clone()
    }

    pub(super) fn set_late_replies(&self, late_replies: Option<Rc<LateReplies>>) {
        self.late_replies.replace(late_replies);
    }
}
