//! An API gateway with quotas: decides which requests are admitted, deferred or rejected, and which endpoint
//! each admitted request is sent to.
//!
//! [`decision::DecisionEngine`] makes these decisions. It is a pure state machine that takes an event with
//! the current time and returns actions; it opens no socket and reads no clock. [`net`] connects it to
//! sockets. [`protocol`] defines the serialized forms of the settings and of the simulator's messages.
//! [`config`] loads the configuration file, and [`app`] runs a node as a process with it.
//!
//! ```
//! use edge_node::decision::{
//!     AccountId, Action, DecisionEngine, EndpointEntry, EndpointId, EndpointState, EndpointUpdateKind,
//!     Event, Limits, NewRequest, Plan, RequestClass, Settings,
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
//!     plans: vec![Plan::default()], // a plan without any quota
//!     limits: Limits { max_attempts: 3, ..Limits::default() },
//!     ..Settings::default()
//! };
//! let mut engine = DecisionEngine::new(7, settings);
//! let mut actions = Vec::new();
//! let endpoint =
//!     EndpointEntry { id: EndpointId(4), state: EndpointState::Active, ..EndpointEntry::default() };
//! let update = Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries: vec![endpoint] };
//! engine.handle(1_000, update, &mut actions);
//! actions.clear();
//! let request = NewRequest {
//!     id: "r1".into(), account: AccountId(9), class: 0, plan: 0, units: 1.0,
//!     first_account_node: 0, account_node_count: 1, is_retry: false, deadline: 2_000_000,
//! };
//! engine.handle(2_000, Event::RequestReceived(request), &mut actions);
//! assert!(actions
//!     .iter()
//!     .any(|action| matches!(action, Action::StartAttempt { endpoint: EndpointId(4), .. })));
//! ```
#![forbid(unsafe_code)]

pub mod app;
pub mod config;
pub mod decision;
pub mod memory_shares;
pub mod net;
pub mod protocol;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
