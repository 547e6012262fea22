//! Tests of the ledger's sums and of its bounded memory.

use std::time::Duration;

use super::*;

fn plan() -> Plan {
    Plan {
        name: "menu".into(),
        deadline: Duration::from_secs(3),
        priority: 4,
        stages: Vec::new(),
    }
}

fn request(workspace: &str) -> Request {
    Request {
        id: uuid::Uuid::nil(),
        workspace: workspace.into(),
        key: None,
        issued: None,
        digest: "d".into(),
        body: "{}".into(),
        stream: false,
    }
}

fn usage(disposition: Disposition) -> AttemptUsage {
    AttemptUsage {
        stage: "draft".into(),
        usage: endpoint::Usage {
            engine_time: Duration::from_millis(10),
            prefill_tokens: 3,
            tokens: 5,
            link_bytes: 7,
        },
        disposition,
    }
}

#[test]
fn record_usage_separates_waste() {
    let mut ledger = Ledger::default();
    let dispositions = [Disposition::Won, Disposition::Hedged, Disposition::Late];
    ledger.record_usage(&plan(), &request("w"), &dispositions.map(usage));
    let report = ledger.report();
    let stage = &report.stages[0];
    assert_eq!(&*stage.name, "menu/draft");
    assert_eq!(
        (stage.calls, stage.tokens, stage.wasted_tokens),
        (2, 15, 10)
    );
    assert_eq!((stage.link_bytes, stage.prefill_tokens), (21, 9));
    assert_eq!(stage.wasted_time, Duration::from_millis(20));
    assert_eq!(report.workspaces[0].tokens, 15);
}

#[test]
fn record_usage_bounds_workspaces() {
    let mut ledger = Ledger::default();
    for number in 0..30_000 {
        let request = request(&format!("w{number}"));
        ledger.record_usage(&plan(), &request, &[usage(Disposition::Won)]);
    }
    let report = ledger.report();
    assert_eq!(report.workspaces.len(), MAX_WORKSPACES + 1);
    let tokens: u64 = report.workspaces.iter().map(|w| w.tokens).sum();
    assert_eq!(tokens, 150_000);
}

#[test]
fn record_end_counts_each_outcome() {
    let mut ledger = Ledger::default();
    let answer = Finish::Answer("1".into());
    ledger.record_end(&plan(), &answer, true);
    ledger.record_end(&plan(), &answer, false);
    ledger.record_end(&plan(), &Finish::Conflict, true);
    let counts = &ledger.report().pipelines[0];
    assert_eq!((counts.requests, counts.attained), (3, 1));
    assert_eq!((counts.late, counts.not_run), (1, 1));
}
