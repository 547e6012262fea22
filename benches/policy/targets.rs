//! The targets, and the tables that show them.

use cyclamenrill::policy::adaptive::Mechanism;
use indexmap::IndexMap;

use super::report::Outcome;
use super::scenario::Name;

/// Share of the naive misses that may remain.
const MISSES_LEFT: f64 = 0.5;
/// Share of the engine time that may be wasted.
const WASTE: f64 = 0.1;
/// Link bytes as a share of the naive ones.
const LINK: f64 = 0.5;
/// Goodput at overload as a share of the peak.
const GOODPUT: f64 = 0.9;
/// Hedges as a share of calls.
const HEDGES: f64 = 0.05;

pub const MECHANISMS: [Mechanism; 16] = [
    Mechanism::Score,
    Mechanism::Affinity,
    Mechanism::Region,
    Mechanism::Ejection,
    Mechanism::SlowStart,
    Mechanism::Limit,
    Mechanism::Fairness,
    Mechanism::Admission,
    Mechanism::Hopeless,
    Mechanism::Timeout,
    Mechanism::Hedge,
    Mechanism::RetryBudget,
    Mechanism::Retry,
    Mechanism::LinkBudget,
    Mechanism::Spill,
    Mechanism::Move,
];

/// Both policies on the same arrivals.
pub struct Row {
    pub deployment: &'static str,
    pub scenario: Name,
    pub seed: u64,
    pub off: Option<Mechanism>,
    pub naive: Option<Outcome>,
    pub adaptive: Outcome,
    /// The peak of goodput, where it is compared.
    pub peak: Option<f64>,
}

impl Row {
    pub fn json(&mut self) -> serde_json::Value {
        serde_json::json!({
            "deployment": self.deployment,
            "scenario": self.scenario.text(),
            "seed": self.seed,
            "peak-goodput": self.peak,
            "naive": self.naive.as_mut().map(Outcome::json),
            "policy": self.adaptive.json(),
        })
    }
}

type Key = (&'static str, &'static str);

fn groups(rows: &[Row]) -> IndexMap<Key, Vec<&Row>> {
    let mut groups: IndexMap<Key, Vec<&Row>> = IndexMap::new();
    for row in rows {
        let key = (row.deployment, row.scenario.text());
        groups.entry(key).or_default().push(row);
    }
    groups
}

fn span(values: impl Iterator<Item = f64>) -> (f64, f64) {
    values.fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), v| {
        (a.min(v), b.max(v))
    })
}

fn shown((least, most): (f64, f64), scale: f64) -> String {
    format!("{:.1}-{:.1}", least * scale, most * scale)
}

pub fn print_table(rows: &[Row]) {
    println!(
        "{:8} {:18} {:>12} {:>12} {:>8} {:>11} {:>11} {:>10} {:>9} {:>7}",
        "",
        "minimum-maximum",
        "naive att%",
        "att%",
        "misses",
        "waste n%",
        "waste%",
        "link",
        "hedge%",
        "goodput"
    );
    for ((deployment, scenario), group) in groups(rows) {
        let naive = || group.iter().filter_map(|r| r.naive.as_ref());
        let ours = || group.iter().map(|r| &r.adaptive);
        let left = span(group.iter().map(|r| misses_left(r)));
        println!(
            "{deployment:8} {scenario:18} {:>12} {:>12} {:>8} {:>11} {:>11} {:>10} {:>9} {:>7}",
            shown(span(naive().map(Outcome::attainment)), 100.0),
            shown(span(ours().map(Outcome::attainment)), 100.0),
            format!("{:.2}", left.1),
            shown(span(naive().map(Outcome::waste)), 100.0),
            shown(span(ours().map(Outcome::waste)), 100.0),
            format!("{:.2}", span(group.iter().map(|r| link(r))).1),
            shown(span(ours().map(Outcome::hedge_share)), 100.0),
            group
                .iter()
                .filter_map(|r| r.peak.map(|p| r.adaptive.goodput() / p))
                .fold(None, |a: Option<f64>, v| Some(a.map_or(v, |a| a.min(v))))
                .map_or(String::new(), |g| format!("{g:.2}")),
        );
    }
}

/// Misses as a share of the naive ones; 0 when neither has any.
fn misses_left(row: &Row) -> f64 {
    let naive = row.naive.as_ref().map_or(0, Outcome::misses);
    let ours = row.adaptive.misses();
    match (naive, ours) {
        (_, 0) => 0.0,
        (0, _) => f64::INFINITY,
        _ => f64::from(ours) / f64::from(naive),
    }
}

fn link(row: &Row) -> f64 {
    let naive = row.naive.as_ref().map_or(0, |n| n.link_bytes);
    row.adaptive.link_bytes as f64 / naive.max(1) as f64
}

fn is_faulty(scenario: Name) -> bool {
    // Overload has its own target: at twice the capacity at most half can be answered.
    !matches!(scenario, Name::Steady | Name::Overload)
}

/// A target, whether every row meets it, and the worst value.
struct Verdict {
    what: String,
    worst: f64,
    bound: f64,
    is_met: bool,
}

fn at_most(what: String, bound: f64, values: impl Iterator<Item = f64>) -> Verdict {
    let (_, worst) = span(values);
    Verdict {
        what,
        worst,
        bound,
        is_met: worst <= bound,
    }
}

fn verdicts(rows: &[Row]) -> Vec<Verdict> {
    let mut list = Vec::new();
    for ((deployment, scenario), group) in groups(rows) {
        let at = format!("{deployment} {scenario}");
        let each = || group.iter().copied();
        if is_faulty(group[0].scenario) {
            let left = each().map(misses_left);
            list.push(at_most(format!("{at}: misses left"), MISSES_LEFT, left));
        }
        let lost = each().map(|r| {
            let naive = r.naive.as_ref().map_or(0.0, Outcome::attainment);
            naive - r.adaptive.attainment()
        });
        list.push(at_most(format!("{at}: attainment lost"), 0.0, lost));
        let waste = each().map(|r| r.adaptive.waste());
        list.push(at_most(format!("{at}: wasted work"), WASTE, waste));
        list.push(at_most(format!("{at}: link bytes"), LINK, each().map(link)));
        let hedges = each().map(|r| r.adaptive.hedge_share());
        list.push(at_most(format!("{at}: hedges"), HEDGES, hedges));
        if group[0].peak.is_some() {
            let short = each().map(|r| 1.0 - r.adaptive.goodput() / r.peak.unwrap_or(1.0));
            list.push(at_most(
                format!("{at}: goodput short of peak"),
                1.0 - GOODPUT,
                short,
            ));
        }
        let broken = each().map(|r| r.adaptive.broken.len() as f64);
        list.push(at_most(format!("{at}: broken invariants"), 0.0, broken));
    }
    list
}

pub fn print_targets(rows: &[Row], json: bool) {
    let list = verdicts(rows);
    let met = list.iter().filter(|v| v.is_met).count();
    for v in list.iter().filter(|v| !v.is_met) {
        if json {
            let line = serde_json::json!({"missed": v.what, "worst": v.worst, "bound": v.bound});
            println!("{line}");
        } else {
            println!(
                "MISSED {}: {:.3}, target at most {}",
                v.what, v.worst, v.bound
            );
        }
    }
    if json {
        println!("{}", serde_json::json!({"targets": list.len(), "met": met}));
    } else {
        println!("{met} of {} targets met", list.len());
    }
}

/// Attainment and cost with each mechanism left out, over all scenarios.
pub fn print_ablation(rows: &[Row]) {
    let mut groups: IndexMap<(&str, Option<Mechanism>), Vec<&Row>> = IndexMap::new();
    for row in rows {
        groups
            .entry((row.deployment, row.off))
            .or_default()
            .push(row);
    }
    println!(
        "| deployment | without | attainment % | worst scenario: points lost | wasted % | link MB | hedges % | engine s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for ((deployment, off), group) in &groups {
        let whole = &groups[&(*deployment, None)];
        let offered: u32 = group.iter().map(|r| r.adaptive.offered).sum();
        let attained: u32 = group.iter().map(|r| r.adaptive.attained).sum();
        let engine: f64 = group.iter().map(|r| r.adaptive.engine.as_secs_f64()).sum();
        let wasted: f64 = group.iter().map(|r| r.adaptive.wasted.as_secs_f64()).sum();
        let link: u64 = group.iter().map(|r| r.adaptive.link_bytes).sum();
        let calls: u32 = group.iter().map(|r| r.adaptive.calls).sum();
        let hedges: u32 = group.iter().map(|r| r.adaptive.hedges).sum();
        let (lost, where_) = worst_loss(whole, group);
        println!(
            "| {deployment} | {} | {:.2} | {:.1} ({where_}) | {:.1} | {:.1} | {:.2} | {:.0} |",
            off.map_or("nothing".into(), |o| format!("{o:?}")),
            100.0 * f64::from(attained) / f64::from(offered),
            100.0 * lost,
            100.0 * wasted / engine,
            link as f64 / 1e6,
            100.0 * f64::from(hedges) / f64::from(calls),
            engine,
        );
    }
}

/// The scenario that loses most attainment, as the mean over its seeds.
fn worst_loss(whole: &[&Row], group: &[&Row]) -> (f64, &'static str) {
    let mean = |rows: &[&Row], scenario: Name| {
        let fit: Vec<f64> = rows
            .iter()
            .filter(|r| r.scenario == scenario)
            .map(|r| r.adaptive.attainment())
            .collect();
        fit.iter().sum::<f64>() / fit.len().max(1) as f64
    };
    super::scenario::ALL
        .iter()
        .map(|s| (mean(whole, *s) - mean(group, *s), s.text()))
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .unwrap()
}

pub fn print_reasons(rows: &[Row]) {
    for row in rows {
        println!(
            "{} {} seed {}",
            row.deployment,
            row.scenario.text(),
            row.seed
        );
        for (reason, count) in &row.adaptive.reasons {
            println!("  {count:6} {reason}");
        }
    }
}
