//! The status and the report of a daemon.

use std::time::Duration;

use crate::id;

value! {
    /// The state of a daemon and what it knows.
    pub struct Status {
        /// The daemon.
        pub daemon: id::Daemon,
        /// Its availability zone.
        pub zone: id::Zone,
        /// Its region.
        pub region: id::Region,
        /// Whether load balancers may send it requests.
        pub ready: bool,
        /// Time since it started.
        pub uptime: Duration,
        /// Requests in progress.
        pub requests: u64,
        /// The revision of its configuration.
        pub revision: id::Revision,
        /// Whether it has read the log recently.
        pub fresh: bool,
        /// The daemons that it knows.
        pub members: Vec<Member>,
        /// The endpoints that it knows.
        pub endpoints: Vec<Endpoint>,
        /// The leases that it knows.
        pub leases: Vec<Lease>,
        /// Contents of requests that are suspected of crashing endpoints.
        pub quarantine: Vec<Blame>,
        /// Upgrades of the zones that it controls.
        pub upgrades: Vec<Upgrade>,
        /// Conditions that need attention.
        pub alarms: Vec<String>,
        /// Counters since it started.
        pub counts: Vec<Count>,
    }

    /// The upgrade of a pool in a zone.
    pub struct Upgrade {
        /// The availability zone.
        pub zone: id::Zone,
        /// The pool.
        pub pool: id::Pool,
        /// The version to which the engines are upgraded.
        pub target: id::Version,
        /// The phase.
        pub phase: String,
        /// Engines that are out of service for it.
        #[serde(rename = "out")]
        pub out_of_service: usize,
    }

    /// A daemon, as another daemon knows it.
    pub struct Member {
        /// The daemon.
        pub daemon: id::Daemon,
        /// Its availability zone.
        pub zone: id::Zone,
        /// Its state, such as `alive` or `suspect`.
        pub state: String,
        /// The revision of its configuration, as last reported.
        pub revision: id::Revision,
    }

    /// An endpoint, as a daemon knows it.
    pub struct Endpoint {
        /// The endpoint.
        pub endpoint: id::Endpoint,
        /// Its pool.
        pub pool: id::Pool,
        /// Its availability zone.
        pub zone: id::Zone,
        /// Whether it is leaving and gets no new calls.
        pub leaving: bool,
        /// Whether it refuses orders with an old fencing token.
        pub checks_fencing: bool,
    }

    /// A lease, as a daemon knows it.
    pub struct Lease {
        /// The name of the lease.
        pub name: id::Name,
        /// The daemon that holds it, if any.
        pub holder: Option<id::Daemon>,
        /// Its fencing token.
        pub fence: id::Fence,
    }

    /// Content that is suspected of crashing endpoints.
    pub struct Blame {
        /// Digest of workspace, pipeline and body.
        pub digest: id::Digest,
        /// `suspect`, or `refused` with the remaining time.
        #[serde(rename = "standing")]
        pub status: String,
    }

    /// A counter.
    pub struct Count {
        /// Its name.
        pub name: id::Name,
        /// Its value.
        pub value: u64,
    }

    /// Attainment and cost.
    #[derive(Default)]
    pub struct Report {
        /// Attainment by pipeline.
        pub pipelines: Vec<Attainment>,
        /// Cost by pipeline and stage.
        pub stages: Vec<Cost>,
        /// Cost by workspace; those beyond a limit are summed under one name.
        pub workspaces: Vec<Cost>,
    }

    /// Outcomes of the requests of a pipeline.
    pub struct Attainment {
        /// The pipeline.
        pub pipeline: id::Pipeline,
        /// Requests that ended.
        pub requests: u64,
        /// Those answered in full within their deadline.
        pub attained: u64,
        /// Those answered in full, but late.
        pub late: u64,
        /// Those that did not run.
        pub not_run: u64,
        /// Those that may have run.
        pub unknown: u64,
        /// Those that failed.
        pub failed: u64,
    }

    /// The cost of a stage or workspace.
    pub struct Cost {
        /// The pipeline and stage, or the workspace.
        pub name: id::Name,
        /// Calls to endpoints.
        pub calls: u64,
        /// Time on endpoints.
        pub engine_time: Duration,
        /// Tokens generated.
        pub tokens: u64,
        /// Prompt tokens computed.
        pub prefill_tokens: u64,
        /// Bytes that crossed the regional link.
        pub link_bytes: u64,
        /// Time spent on results that were not used.
        pub wasted_time: Duration,
        /// Tokens of results that were not used.
        pub wasted_tokens: u64,
    }
}

impl Cost {
    /// Returns a cost of zero.
    pub fn new(name: id::Name) -> Self {
        Self {
            name,
            calls: 0,
            engine_time: Duration::ZERO,
            tokens: 0,
            prefill_tokens: 0,
            link_bytes: 0,
            wasted_time: Duration::ZERO,
            wasted_tokens: 0,
        }
    }

    fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.engine_time += other.engine_time;
        self.tokens += other.tokens;
        self.prefill_tokens += other.prefill_tokens;
        self.link_bytes += other.link_bytes;
        self.wasted_time += other.wasted_time;
        self.wasted_tokens += other.wasted_tokens;
    }
}

impl Attainment {
    /// Returns the share of requests answered in full and in time, from 0 to 1.
    pub fn share(&self) -> f64 {
        if self.requests == 0 {
            return 1.0;
        }
        self.attained as f64 / self.requests as f64
    }

    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.attained += other.attained;
        self.late += other.late;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.failed += other.failed;
    }
}

fn add_costs(sums: &mut Vec<Cost>, costs: &[Cost]) {
    for cost in costs {
        match sums.iter_mut().find(|c| c.name == cost.name) {
            Some(sum) => sum.add(cost),
            None => sums.push(cost.clone()),
        }
    }
}

impl Report {
    /// Adds the report of another daemon.
    pub fn add(&mut self, other: &Self) {
        for attainment in &other.pipelines {
            let same = |a: &&mut Attainment| a.pipeline == attainment.pipeline;
            match self.pipelines.iter_mut().find(same) {
                Some(sum) => sum.add(attainment),
                None => self.pipelines.push(attainment.clone()),
            }
        }
        add_costs(&mut self.stages, &other.stages);
        add_costs(&mut self.workspaces, &other.workspaces);
    }
}
