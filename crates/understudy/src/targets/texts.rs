//! What operators and machines write: configurations, changes of them, settings; and rehearsals' scenarios.

use configuration::Configuration;
use membership::Role;
use playhouse::settings::{Settings, seconds_to_micros};
use rehearsal::scenario::Scenario;
use types::RunId;

use super::{BILL, CHANGE, mark_faults};
use crate::{Cost, Shape, Signature, Target};

pub struct ReplaceText;

/// What is taken reads back the same, and every route finds itself.
fn whole(signature: &mut Signature, bill: &Configuration) {
    let again = Configuration::parse(bill.as_json()).expect("what was taken is taken again");
    assert_eq!(again.routes, bill.routes, "routes read back the same");
    assert_eq!(again.services, bill.services, "services read back the same");
    assert_eq!((again.version, again.limits), (bill.version, bill.limits), "so do version and limits");
    signature.bucket("routes", bill.routes.len() as u64);
    signature.bucket("services", bill.services.len() as u64);
    for route in bill.routes.values() {
        let found = bill.find_route(&route.host, &route.path_prefix);
        assert_eq!(found.map(|found| &found.name), Some(&route.name), "a route finds itself");
        let listed = route.targets.iter().all(|target| bill.services.contains_key(&*target.service));
        assert!(
            listed && route.max_attempts > 0 && route.timeout >= 0 && route.target_latency >= 0,
            "{route:?}"
        );
        signature.mark("kind", route.kind as u64);
        signature.bucket("targets", route.targets.len() as u64);
        signature.bucket("timeout", route.timeout.unsigned_abs() >> 20);
    }
}

impl Target for ReplaceText {
    fn name(&self) -> &'static str {
        "replace"
    }

    fn shape(&self) -> Shape {
        Shape::Json
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        vec![BILL.into()]
    }

    fn cost(&self) -> Cost {
        Cost { fixed: 128 << 10, each: 160 }
    }

    fn run(&mut self, input: &[u8]) -> Signature {
        let mut signature = Signature::default();
        match Configuration::parse(input) {
            Ok(bill) => {
                assert_eq!(bill.as_json(), input, "what is taken is kept as it came");
                whole(&mut signature, &bill);
            }
            Err(faults) => {
                assert!(!faults.is_empty() && !faults.to_json().is_empty(), "a refusal says why");
                mark_faults(&mut signature, &faults);
            }
        }
        signature
    }
}

/// A change of `BILL`.
pub struct ModifyText(Configuration);

impl ModifyText {
    pub fn new() -> ModifyText {
        ModifyText(Configuration::parse(BILL.as_bytes()).expect("it is valid as it stands"))
    }
}

impl Default for ModifyText {
    fn default() -> ModifyText {
        ModifyText::new()
    }
}

impl Target for ModifyText {
    fn name(&self) -> &'static str {
        "modify"
    }

    fn shape(&self) -> Shape {
        Shape::Json
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        let begin = BILL.replace("\"ResourceSet\"", "\"Upsert\":{\"ResourceSet\"") + "}";
        vec![CHANGE.into(), begin.into()]
    }

    fn cost(&self) -> Cost {
        Cost { fixed: 256 << 10, each: 320 }
    }

    fn run(&mut self, input: &[u8]) -> Signature {
        let mut signature = Signature::default();
        let done = [("changed", self.0.with_change(input)), ("begun", Configuration::from_change(input))];
        for (way, done) in done {
            signature.mark(way, u64::from(done.is_ok()));
            match done {
                Ok(bill) => {
                    assert!(way == "begun" || bill.version > self.0.version, "versions rise");
                    whole(&mut signature, &bill);
                }
                Err(faults) => {
                    assert!(!faults.is_empty() && !faults.to_json().is_empty(), "a refusal says why");
                    mark_faults(&mut signature, &faults);
                }
            }
        }
        signature
    }
}

pub struct SettingsText;

const SETTINGS: &str = "NodeName = \"n\"\nIpAddress = \"10.0.0.1\"\nZone = \"z\"\nRegion = \"r\"\n\
InternalPortRange = [7620, 7635]\nSeedNodes = [\"10.0.0.2:8649\", \"10.0.0.3:8649\"]\nInitialStart = true\n\
DataDirectory = \"/d\"\nHeartbeatS = 1.5\n[Zones]\nz = \"r\"\ny = \"r\"\n[ListenAddresses]\n\
Control = \"10.0.0.1:8649\"\nFrontend = \"10.0.0.1:80\"\nReadiness = \"10.0.0.1:81\"\n[LimitSet]\n\
CpuShare = 0.06\nMemoryMb = 64\nFdLimit = 1024\nLinkMbps = 10\nDiskMb = 256\n[TimerBounds]\nContactS = 3\n\
AckS = 5\nDrainS = 2.5\nGraceS = 6\nConfigApplyS = 2.5\nRetryBudgetRatio = 0.2\nRetryWindowS = 10\n\
RetryBudgetSlack = 50\nExposureShare = 0.1\nExposureSlack = 50\nRollbackS = 5\n";

impl Target for SettingsText {
    fn name(&self) -> &'static str {
        "settings"
    }

    fn shape(&self) -> Shape {
        Shape::Toml
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        vec![SETTINGS.into()]
    }

    fn cost(&self) -> Cost {
        Cost { fixed: 128 << 10, each: 400 }
    }

    fn run(&mut self, input: &[u8]) -> Signature {
        let mut signature = Signature::default();
        let Ok(text) = std::str::from_utf8(input) else { return signature };
        let table: toml::Table = match toml::from_str(text) {
            Ok(table) => table,
            Err(error) => {
                signature.text("syntax", error.message());
                return signature;
            }
        };
        match Settings::from_table(&table) {
            Ok(settings) => {
                let range = settings.internal_port_range;
                assert!(range[0] > 0 && range[0] <= range[1] && settings.control_port() > 0);
                assert!(!settings.seed_addresses().is_empty() && !settings.node_name.is_empty());
                assert!(
                    seconds_to_micros(settings.heartbeat_s) > 0,
                    "a span between beats: {}",
                    settings.heartbeat_s
                );
                let limits = &settings.limit_set;
                assert!(limits.cpu_share > 0.0 && limits.memory_mb > 0.0 && limits.disk_mb >= 0.0);
                assert!((0.0..=1.0).contains(&settings.timer_bounds.exposure_share));
                let part = settings.role();
                signature.mark("part", part.map_or(2, |part| u64::from(part == Role::Gateway)));
                signature.bucket("zones", settings.zones.len() as u64);
                signature.bucket("seeds", settings.seed_addresses().len() as u64);
                for part in [Role::Gateway, Role::ControlNode] {
                    assert_eq!(settings.member(part, RunId(1)).address, settings.node_address());
                    for fault in settings.missing_for(part) {
                        signature.text("lacking", &fault.key);
                    }
                }
            }
            Err(faults) => {
                assert!(!faults.is_empty(), "a refusal says why");
                signature.bucket("faults", faults.len() as u64);
                for fault in faults {
                    assert!(fault.found.len() <= 83, "what is quoted is cut: {}", fault.found.len());
                    signature.text("fault", &fault.key);
                    signature.text("found", &format!("{} {}", fault.key, &fault.found[..1]));
                }
            }
        }
        signature
    }
}

pub struct ScenarioText;

impl Target for ScenarioText {
    fn name(&self) -> &'static str {
        "scenario"
    }

    fn shape(&self) -> Shape {
        Shape::Toml
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        (0..6).map(|seed| Scenario::drawn(seed).written().into_bytes()).collect()
    }

    fn cost(&self) -> Cost {
        Cost { fixed: 128 << 10, each: 800 }
    }

    fn run(&mut self, input: &[u8]) -> Signature {
        let mut signature = Signature::default();
        let Ok(text) = std::str::from_utf8(input) else { return signature };
        match Scenario::read(text) {
            Ok(day) => {
                let again = Scenario::read(&day.written()).expect("what is read can be written and read");
                assert_eq!(again, day, "it reads back the same");
                assert!(day.machines() > 0 && day.zones > 0 && day.end() >= 0 && day.calm_from() >= 0);
                signature.bucket("troubles", day.troubles.len() as u64);
                signature.bucket("machines", day.machines() as u64);
                for trouble in &day.troubles {
                    assert!(trouble.over() >= trouble.at);
                    let debug = format!("{:?}", trouble.what);
                    signature.text("trouble", debug.split([' ', '{']).next().unwrap_or(""));
                }
            }
            Err(error) => signature.text("error", error.message()),
        }
        signature
    }
}
