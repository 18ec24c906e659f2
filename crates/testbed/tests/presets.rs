//! The presets and the demo's script fit each other.

use ridgeworks_api::v1::object::Specification;
use ridgeworks_testbed::bench::bench_preset;
use ridgeworks_testbed::cluster::{Preset, PresetError, PresetField, PresetName};
use ridgeworks_testbed::conversation::{Script, Step};

const KALAHARI_SMALL: &str = include_str!("../presets/kalahari-small.toml");

fn names(preset: &Preset, is_kind: impl Fn(&Specification) -> bool) -> Vec<&str> {
    let objects = preset.objects.iter();
    let of_kind = objects.filter(|object| object.specification.as_ref().is_some_and(&is_kind));
    let metadata = of_kind.filter_map(|object| object.metadata.as_ref());
    metadata.map(|metadata| metadata.name.as_str()).collect()
}

fn contradiction(text: &str) -> PresetField {
    match text.parse::<Preset>() {
        Err(PresetError::Contradictory(field)) => field,
        other => panic!("expected a contradiction, got {other:?}"),
    }
}

#[test]
fn every_preset_loads_and_serves_every_service() {
    for name in PresetName::ALL {
        let preset = name.load().expect("the preset loads");
        let services = names(&preset, |kind| matches!(kind, Specification::Service(_)));
        for service in services {
            let mut backends = preset.backends.iter();
            assert!(
                backends.any(|backend| backend.service == service && backend.count > 0),
                "{name:?} has no back end for {service}"
            );
        }
    }
}

#[test]
fn the_sizes_are_those_of_the_users() {
    let count = |preset: &Preset, service: &str| {
        let mut backends = preset.backends.iter();
        backends
            .find(|backend| backend.service == service)
            .map(|backend| backend.count)
    };
    let kalahari = PresetName::Kalahari.load().expect("the preset loads");
    assert_eq!(
        (kalahari.zones.len(), kalahari.one_way_delay_us),
        (3, 1_000)
    );
    assert_eq!(count(&kalahari, "placement-assistant"), Some(12));
    assert_eq!(count(&kalahari, "records-assistant"), Some(3));
    let serra_branca = PresetName::SerraBranca.load().expect("the preset loads");
    assert_eq!(
        (serra_branca.zones.len(), serra_branca.one_way_delay_us),
        (4, 500)
    );
    assert_eq!(count(&serra_branca, "map-agent"), Some(14));
    assert_eq!(count(&serra_branca, "slope-notification"), Some(4));
}

#[test]
fn the_bench_preset_has_a_fast_and_a_slow_service_with_programs() {
    let preset = bench_preset().expect("the preset loads");
    for backends in &preset.backends {
        assert!(preset.program_with(&backends.service).is_some());
    }
    let steps: Vec<u64> = preset
        .backends
        .iter()
        .map(|backend| backend.engine.step_base_us)
        .collect();
    assert!(steps[0] < steps[1]);
}

#[test]
fn an_even_number_of_voters_is_refused() {
    let text = KALAHARI_SMALL.replace("configuration_voters = 3", "configuration_voters = 2");
    assert_eq!(contradiction(&text), PresetField::ConfigurationVoters);
}

#[test]
fn more_voters_than_disks_are_refused() {
    let text = KALAHARI_SMALL.replace("configuration_voters = 3", "configuration_voters = 5");
    assert_eq!(contradiction(&text), PresetField::ConfigurationVoters);
}

#[test]
fn parts_of_the_pool_that_do_not_sum_up_are_refused() {
    let text = KALAHARI_SMALL.replacen("permille = 500", "permille = 400", 1);
    assert_eq!(contradiction(&text), PresetField::Permille);
}

#[test]
fn a_back_end_of_an_unknown_service_is_refused() {
    let text = KALAHARI_SMALL.replace("service = \"map-agent\"", "service = \"other\"");
    assert_eq!(contradiction(&text), PresetField::Service);
}

fn check_steps(preset: &Preset, program: &str, steps: &[Step]) {
    let mut objects = preset.objects.iter();
    let object = objects.find(|object| {
        let is_program = matches!(object.specification, Some(Specification::Program(_)));
        let metadata = object.metadata.as_ref();
        is_program && metadata.is_some_and(|metadata| metadata.name == program)
    });
    let Some(Specification::Program(allowed)) =
        object.and_then(|object| object.specification.as_ref())
    else {
        panic!("no program {program}");
    };
    for step in steps {
        match step {
            Step::Ask { service, .. } | Step::Call { service, .. } => {
                assert!(allowed.services.iter().any(|name| name == service.as_str()));
            }
            Step::SubAgent { program, steps } => check_steps(preset, program.as_str(), steps),
        }
    }
}

#[test]
fn the_script_uses_what_its_programs_allow() {
    let preset = PresetName::KalahariSmall.load().expect("the preset loads");
    let script = Script::demo().expect("the script loads");
    assert_eq!(script.conversations.len(), 2);
    for conversation in &script.conversations {
        check_steps(&preset, conversation.program.as_str(), &conversation.steps);
        let has_sub_agent = |step: &Step| matches!(step, Step::SubAgent { .. });
        assert!(conversation.steps.iter().any(has_sub_agent));
    }
}
