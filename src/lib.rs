//! Decides for an API gateway with quotas which request is admitted, deferred or rejected, and which endpoint
//! gets it.
//!
//! The decisions are one pure state machine, [`decision::DecisionEngine`]: events go in with the time, actions
//! come out. It opens no socket and reads no clock. [`net`] joins it to sockets, [`protocol`] to the serialized
//! forms of settings and of the simulator's messages. [`app`] runs a node as a process by its [`config`].
//!
//! ```
//! use edge_node::decision::{
//!     AccountId, Action, DecisionEngine, EndpointEntry, EndpointId, EndpointState, EndpointUpdateKind, Event,
//!     Limits, NewRequest, Plan, RequestClass, Settings,
//! };
//!
//! let class = RequestClass {
//!     latency_objective: 500_000,
//!     total_timeout: 2_000_000,
//!     priority_weight: 1.0,
//!     ..RequestClass::default()
//! };
//! let settings = Settings {
//!     node_count: 1,
//!     classes: vec![class],
//!     plans: vec![Plan::default()], // no quota at all
//!     limits: Limits { max_attempts: 3, ..Limits::default() },
//!     ..Settings::default()
//! };
//! let mut engine = DecisionEngine::new(7, settings);
//! let mut actions = Vec::new();
//! let endpoint = EndpointEntry { id: EndpointId(4), state: EndpointState::Active, ..EndpointEntry::default() };
//! let update = Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries: vec![endpoint] };
//! engine.handle(1_000, update, &mut actions);
//! actions.clear();
//! let request = NewRequest {
//!     id: "r1".into(), account: AccountId(9), class: 0, plan: 0, units: 1.0,
//!     first_account_node: 0, account_node_count: 1, is_retry: false, deadline: 2_000_000,
//! };
//! engine.handle(2_000, Event::RequestReceived(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::StartAttempt { endpoint: EndpointId(4), .. })));
//! ```
#![forbid(unsafe_code)]

pub mod app;
pub mod config;
pub mod decision;
pub mod net;
pub mod protocol;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
