//! Tests of calls that cross the regional link.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use super::{Crossing, Link};
use crate::clock::Manual;
use crate::endpoint::http::Client;
use crate::endpoint::{Answer, Call, Error, Result, Service as _};
use crate::platform::Roster as _;
use crate::standin::deployment::Deployment;
use crate::standin::fleet::Fleet;
use crate::standin::text::tests::call;

struct Site {
    link: Arc<Link>,
    crossing: Crossing,
    near: String,
    far: String,
}

fn site() -> Site {
    let deployment = Deployment::find("poldmaa").unwrap();
    let deployment = deployment.within(&["tallinn-a", "tartu-a"]);
    let fleet = Fleet::start(&deployment, Ipv4Addr::LOCALHOST.into(), 1).unwrap();
    let vms = fleet.platform.roster.list().unwrap();
    let in_zone = |zone: &str| {
        let orders = vms.iter().filter(|vm| vm.pool.as_deref() == Some("orders"));
        let mut found = orders.filter(|vm| &*vm.zone == zone);
        found.next().unwrap().address.clone()
    };
    let link = Arc::new(Link::new(Arc::new(Manual::default())));
    Site {
        near: in_zone("tallinn-a"),
        far: in_zone("tartu-a"),
        crossing: Crossing::new(Arc::new(Client::default()), link.clone(), fleet, "tallinn"),
        link,
    }
}

fn run(site: &Site, address: &str) -> Result<Answer> {
    let call = Call {
        remaining: Duration::from_secs(60),
        ..call("{}")
    };
    site.crossing.call(address, &call, &mut |_| Ok(()))
}

#[test]
fn call_counts_only_what_crosses() {
    let site = site();
    let counted = |site: &Site| site.link.bytes(&"order".into(), &"draft".into());
    run(&site, &site.near).unwrap();
    assert_eq!(counted(&site), 0);
    let answer = run(&site, &site.far).unwrap();
    assert_eq!(counted(&site), (2 + answer.body.len()) as u64);
}

#[test]
fn call_over_cut_link_is_not_sent() {
    let site = site();
    site.link.cut(Duration::from_secs(1));
    assert!(matches!(run(&site, &site.far), Err(Error::NotSent { .. })));
    assert!(run(&site, &site.near).is_ok());
}
