//! Turns the failure of a run into timed steps, and each step into effects on nodes, endpoints, the network
//! and the counter service.
//!
//! A [`FailurePlan`] only decides which effects a step has. The simulated world applies them.

use edge_node::decision::Micros;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::Rng;

use super::counter::CounterMode;
use super::fleet_failure::FleetFailure;
use super::node::{EndpointIndex, NodeIndex};
use super::scenario::Scenario;

/// Time for which an endpoint that a release replaces drains before its process exits.
const ENDPOINT_DRAIN_TIME: Micros = 2_000_000;
/// The failure `restart-tenth` restarts one node in this many.
const RESTARTED_NODE_DIVISOR: usize = 10;

/// One step of a failure.
#[derive(Debug, Clone, Copy)]
pub enum FailureStep {
    /// The failure starts.
    Start,
    /// The failure ends.
    End,
    /// The endpoints of this group of a release start to drain.
    Drain(u32),
    /// The endpoints of this group of a release are replaced.
    Replace(u32),
}

/// A step and the time at which it is carried out.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledStep {
    /// When it is carried out.
    pub at: Micros,
    /// The step.
    pub step: FailureStep,
}

/// One effect of a step on the simulated world. The effects of a step are applied in the order in which they
/// are returned.
#[derive(Debug, Clone, Copy)]
pub enum FailureEffect {
    /// A node's process exits and its connections are reset.
    StopNode(NodeIndex),
    /// A node becomes unresponsive, and its clients get no notice.
    HangNode(NodeIndex),
    /// A new process of a node starts after the boot time.
    BootNode(NodeIndex),
    /// An endpoint becomes unresponsive.
    HangEndpoint(EndpointIndex),
    /// An unresponsive endpoint starts again and has to warm up.
    RestartEndpoint(EndpointIndex),
    /// The endpoint list shows an endpoint as draining.
    DrainEndpoint(EndpointIndex),
    /// An endpoint's process exits and a new endpoint starts in its zone.
    ReplaceEndpoint(EndpointIndex),
    /// This region is cut off from all others. `None` reconnects the region that was cut off.
    IsolateRegion(Option<u32>),
    /// The counter service changes how it handles calls.
    SetCounterMode(CounterMode),
}

/// The zones of nodes and endpoints when a step is carried out.
pub struct FleetLayout {
    /// The zone of each node, by node index.
    pub node_zones: Vec<u32>,
    /// The zone of each endpoint, by endpoint index.
    pub endpoint_zones: Vec<u32>,
}

/// The failure of one run, with the nodes and endpoints that were drawn for it.
pub struct FailurePlan {
    kind: FleetFailure,
    starts_at: Micros,
    duration: Micros,
    zones: u32,
    regions: u32,
    rack_share: f64,
    release_share: f64,
    release_steps: u32,
    /// Endpoints that the failure made unresponsive and that start again at its end.
    unresponsive_endpoints: Vec<EndpointIndex>,
    /// Nodes that the failure made unresponsive and that start again at its end.
    unresponsive_nodes: Vec<NodeIndex>,
    /// The endpoints that a release replaces, in the order of their replacement.
    released: Vec<EndpointIndex>,
}

impl FailurePlan {
    /// Creates the plan of a scenario's failure.
    pub fn new(scenario: &Scenario) -> Self {
        FailurePlan {
            kind: scenario.fail,
            starts_at: scenario.failure_starts_at(),
            duration: scenario.fail_for_ms * 1_000,
            zones: scenario.zones,
            regions: scenario.regions,
            rack_share: scenario.rack_share,
            release_share: scenario.release_share,
            release_steps: scenario.release_steps,
            unresponsive_endpoints: Vec::new(),
            unresponsive_nodes: Vec::new(),
            released: Vec::new(),
        }
    }

    /// Returns the steps in the order in which they have to be scheduled. For a release, draws the endpoints
    /// to replace.
    pub fn schedule(&mut self, random: &mut StdRng, endpoint_count: usize) -> Vec<ScheduledStep> {
        match self.kind {
            FleetFailure::Calm => Vec::new(),
            FleetFailure::Release => {
                self.released = draw_share(random, endpoint_count, self.release_share);
                self.release_schedule()
            }
            _ => vec![
                ScheduledStep { at: self.starts_at, step: FailureStep::Start },
                ScheduledStep { at: self.starts_at + self.duration, step: FailureStep::End },
            ],
        }
    }

    /// Draws the nodes and endpoints that a step affects, and returns the effects of the step in order.
    pub fn effects(
        &mut self,
        step: FailureStep,
        random: &mut StdRng,
        layout: &FleetLayout,
    ) -> Vec<FailureEffect> {
        match step {
            FailureStep::Start => self.start(random, layout),
            FailureStep::End => self.end(),
            FailureStep::Drain(group) => {
                self.released_group(group).iter().copied().map(FailureEffect::DrainEndpoint).collect()
            }
            FailureStep::Replace(group) => {
                self.released_group(group).iter().copied().map(FailureEffect::ReplaceEndpoint).collect()
            }
        }
    }

    fn start(&mut self, random: &mut StdRng, layout: &FleetLayout) -> Vec<FailureEffect> {
        let node_count = layout.node_zones.len();
        match self.kind {
            FleetFailure::RestartTenth => {
                let nodes = draw(random, node_count, node_count.div_ceil(RESTARTED_NODE_DIVISOR));
                nodes
                    .into_iter()
                    .flat_map(|node| [FailureEffect::StopNode(node), FailureEffect::BootNode(node)])
                    .collect()
            }
            FleetFailure::Rack => {
                self.unresponsive_endpoints =
                    draw_share(random, layout.endpoint_zones.len(), self.rack_share);
                self.hang()
            }
            FleetFailure::Zone => {
                let zone = random.random_range(0..self.zones);
                self.unresponsive_endpoints = indices_in_zone(&layout.endpoint_zones, zone);
                self.unresponsive_nodes = indices_in_zone(&layout.node_zones, zone);
                self.hang()
            }
            FleetFailure::HalfDown => {
                self.unresponsive_nodes = draw(random, node_count, node_count / 2);
                self.hang()
            }
            FleetFailure::RegionCut => {
                let region = random.random_range(0..self.regions);
                vec![FailureEffect::IsolateRegion(Some(region))]
            }
            FleetFailure::CounterSilent => vec![FailureEffect::SetCounterMode(CounterMode::Silent)],
            FleetFailure::CounterBusy => vec![FailureEffect::SetCounterMode(CounterMode::Busy)],
            FleetFailure::Calm | FleetFailure::Release => Vec::new(),
        }
    }

    fn end(&mut self) -> Vec<FailureEffect> {
        match self.kind {
            FleetFailure::Rack | FleetFailure::Zone | FleetFailure::HalfDown => self.recover(),
            FleetFailure::RegionCut => vec![FailureEffect::IsolateRegion(None)],
            FleetFailure::CounterSilent | FleetFailure::CounterBusy => {
                vec![FailureEffect::SetCounterMode(CounterMode::Serving)]
            }
            FleetFailure::Calm | FleetFailure::RestartTenth | FleetFailure::Release => Vec::new(),
        }
    }

    fn hang(&self) -> Vec<FailureEffect> {
        let endpoints = self.unresponsive_endpoints.iter().copied().map(FailureEffect::HangEndpoint);
        let nodes = self.unresponsive_nodes.iter().copied().map(FailureEffect::HangNode);
        endpoints.chain(nodes).collect()
    }

    fn recover(&mut self) -> Vec<FailureEffect> {
        let endpoints = self.unresponsive_endpoints.drain(..).map(FailureEffect::RestartEndpoint);
        let nodes = self.unresponsive_nodes.drain(..).map(FailureEffect::BootNode);
        endpoints.chain(nodes).collect()
    }

    fn release_schedule(&self) -> Vec<ScheduledStep> {
        let mut steps = Vec::new();
        for group in 0..self.release_steps {
            let offset = self.duration * Micros::from(group) / Micros::from(self.release_steps);
            let at = self.starts_at + offset;
            steps.push(ScheduledStep { at, step: FailureStep::Drain(group) });
            steps.push(ScheduledStep { at: at + ENDPOINT_DRAIN_TIME, step: FailureStep::Replace(group) });
        }
        steps
    }

    /// Returns the endpoints of one group of a release. The groups differ in size by at most one endpoint.
    fn released_group(&self, group: u32) -> &[EndpointIndex] {
        let count = self.released.len();
        let groups = self.release_steps as usize;
        let from = count * group as usize / groups;
        let to = count * (group as usize + 1) / groups;
        &self.released[from..to]
    }
}

/// Draws `drawn` different indices below `count`, in random order.
fn draw(random: &mut StdRng, count: usize, drawn: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..count).collect();
    order.shuffle(random);
    order.truncate(drawn);
    order
}

/// Draws a share of the indices below `count`, but at least one index, in random order.
fn draw_share(random: &mut StdRng, count: usize, share: f64) -> Vec<usize> {
    let drawn = (count as f64 * share).round() as usize;
    draw(random, count, drawn.max(1))
}

fn indices_in_zone(zones: &[u32], zone: u32) -> Vec<usize> {
    (0..zones.len()).filter(|&index| zones[index] == zone).collect()
}
