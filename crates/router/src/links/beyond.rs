//! Owns what the router keeps for its gateway, and the way between the terms of both: requests as they cross, the list
//! of caches as this site was told of it, and how loaded it is.
//!
//! Must never choose a site, nor let another site's word make a cache usable that the own journal bars.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use bytes::Bytes;
use linnethook_gateway::across::Wanted;
use linnethook_gateway::codec::Fields;
use linnethook_gateway::gateway::{Gateway, Setup};
use linnethook_gateway::home::Need;
use linnethook_gateway::routes::Site;
use linnethook_gateway::site::{About, Fact};
use linnethook_gateway::streams::Priority;
use linnethook_operator_config::config::GatewayConfig;

use crate::caches::Parcel;
use crate::config::{Failure, Limits};
use crate::decider::{Ms, Wish};
use crate::links::sockets::Links;
use crate::log::log_line;
use crate::told::{Expire, Hosts, Target};
use crate::wakes::Wakes;

/// A request as the gateway needs it again, should it go on elsewhere.
#[derive(Debug, Clone)]
pub struct Traveller {
    pub wish: Wish,
    pub harmful: bool,
    pub write: bool,
    pub aim: Ms,
    pub deadline: Ms,
    pub passed: Vec<String>,
}

impl Traveller {
    pub fn need(&self) -> Need {
        if self.write {
            Need::Write
        } else {
            Need::Read
        }
    }
}

pub struct Beyond<W: Wakes> {
    pub gateway: Gateway,
    pub links: Links<W>,
    /// Where the entries of the dials lead.
    pub addresses: Vec<SocketAddr>,
    classes: HashMap<String, Site>,
    /// The caches of the list, by name, as the own journal has them, and whether each stands at this site.
    targets: BTreeMap<String, (Target, bool)>,
    /// The share of requests refused here.
    refused: f64,
}

/// Weight of one request in the share of those refused here, and what that share counts for in the load.
const WEIGHT: f64 = 0.02;
const HEAVY: f64 = 3.0;

impl<W: Wakes> Beyond<W> {
    pub fn new(
        now: Ms,
        node: &str,
        seed: u64,
        settings: &GatewayConfig,
        limits: Limits,
        handle: calloop::LoopHandle<'static, W>,
    ) -> Result<Self, Failure> {
        let mut links = Links::new(limits, handle);
        let mut dials = Vec::new();
        for link in &settings.links {
            dials.extend((0..link.connections).map(|_| (link.to.clone(), link.connect)));
        }
        let setup = Setup {
            site: settings.site.clone(),
            others: settings.sites.iter().map(|site| site.name.clone()).collect(),
            node: node.to_string(),
            // Greater with each start: a start takes longer than a microsecond.
            epoch: (now * 1_000.0) as u64,
            seed,
            dials: dials.iter().map(|(site, _)| site.clone()).collect(),
            fellows: settings.cluster.is_some(),
            rules: settings.parameters,
        };
        if let Some(address) = settings.listen {
            let address = links.listen(address)?;
            log_line!("gateway of {}: links come in at {address}", settings.site);
        }
        let gateway = Gateway::new(now, setup);
        let classes = settings.sites.iter().flat_map(|site| {
            let number = gateway.site(&site.name);
            site.classes.iter().filter_map(move |class| Some((class.clone(), number?)))
        });
        let classes = classes.collect();
        Ok(Self {
            gateway,
            links,
            addresses: dials.into_iter().map(|(_, address)| address).collect(),
            classes,
            targets: BTreeMap::new(),
            refused: 0.0,
        })
    }

    /// Whether requests can go to other sites.
    pub fn crosses(&self) -> bool {
        self.gateway.crosses()
    }

    /// What the gateway is to know of a request.
    pub fn wanted(&self, traveller: &Traveller, parcel: &Parcel) -> Wanted {
        let wish = &traveller.wish;
        let priority = match (traveller.harmful, wish.part) {
            (true, _) => Priority::Booking,
            (false, 0) => Priority::First,
            _ => Priority::Rest,
        };
        Wanted {
            object: wish.object,
            write: traveller.write,
            harmful: traveller.harmful,
            home: self.classes.get(&wish.class).copied(),
            priority,
            aim: traveller.aim,
            deadline: traveller.deadline,
            passed: traveller.passed.clone(),
            head: head(wish, parcel),
            body: Bytes::from(parcel.body.to_vec()),
        }
    }

    // ---- The list of caches.

    /// Lines of the own journal: what they say goes to other sites, and what those bar stays barred here.
    pub fn hosts(&mut self, now: Ms, hosts: &mut Hosts, own: impl Fn(&Target) -> bool) {
        if hosts.all {
            let listed: Vec<&str> = hosts.targets.iter().map(|target| target.uid.as_str()).collect();
            let gone: Vec<String> =
                self.targets.keys().filter(|name| !listed.contains(&name.as_str())).cloned().collect();
            for name in gone {
                self.targets.remove(&name);
                self.gateway.say(now, About::Cache(name), Fact::Left);
            }
        }
        for target in &mut hosts.targets {
            let name = target.uid.clone();
            let about = About::Cache(name.clone());
            let known = self.targets.contains_key(&name);
            if target.gone() {
                self.targets.remove(&name);
                self.gateway.say(now, about, Fact::Left);
                continue;
            }
            let before = self.targets.insert(name.clone(), (target.clone(), own(target)));
            let was_ready = before.is_none_or(|(before, _)| before.ready());
            if !target.ready() {
                self.gateway.say(now, about, Fact::Cache { ready: false });
            } else if known && !was_ready {
                self.gateway.say(now, about, Fact::Cache { ready: true });
            }
            if target.ready() && self.gateway.bars(&name) {
                target.bar();
            }
        }
        self.tell(now, 0.0);
    }

    /// Another site has said something of a cache: its line as it holds from now on, where the own list has it.
    pub fn barred(&self, name: &str) -> Option<Hosts> {
        let (target, _) = self.targets.get(name)?;
        let mut target = target.clone();
        if target.ready() && self.gateway.bars(name) {
            target.bar();
        }
        Some(Hosts { all: false, targets: vec![target] })
    }

    /// A purge of the own journal.
    pub fn expired(&mut self, now: Ms, expire: &Expire) {
        let about = match &expire.name {
            Some(name) => About::Object(name.clone()),
            None => About::Group(expire.set),
        };
        self.gateway.say(now, about, Fact::Purged { stamp: expire.stamp });
    }

    /// How many caches take new work here, and how loaded the site is: the share of the open requests that there may
    /// be, or that of requests refused here.
    pub fn tell(&mut self, now: Ms, open: f64) {
        let ready = |(name, (target, own)): &(&String, &(Target, bool))| {
            *own && target.ready() && !self.gateway.bars(name)
        };
        let caches = self.targets.iter().filter(ready).count() as u32;
        let used = open.max(self.refused * HEAVY).min(1.0);
        self.gateway.own(now, caches, used);
    }

    /// How a request ended that was served here.
    pub fn ended(&mut self, now: Ms, traveller: &Traveller, foreign: bool, refused: bool, bad: bool) {
        self.refused += (f64::from(u8::from(refused)) - self.refused) * WEIGHT;
        // What others send is theirs to judge.
        if !foreign {
            self.gateway.ended_at_home(now, traveller.need(), bad);
        }
    }
}

/// The fields of a request as clients write them.
fn head(wish: &Wish, parcel: &Parcel) -> Fields {
    let mut head: Fields = Vec::with_capacity(9);
    let mut put = |name: &str, value: String| head.push((name.to_string(), value));
    put("c", parcel.class.clone());
    put("i", parcel.id.clone());
    put("o", parcel.object.clone());
    put("chunk", parcel.part.clone());
    put("tag", wish.group.to_string());
    if wish.size_kb > 0.0 {
        put("m", wish.size_kb.to_string());
    }
    if wish.repeat {
        put("r", "1".to_string());
    }
    parcel.known.iter().for_each(|known| put("known", known.clone()));
    parcel.token.iter().for_each(|token| put("k", token.clone()));
    head
}
