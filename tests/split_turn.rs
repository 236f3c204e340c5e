//! Distribution of the requests of a split route by weight.

use wagtailtrack::balance::TrafficSplitter;
use wagtailtrack::resource::WeightedService;
use wagtailtrack::units::Weight;

fn part(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: service.parse().unwrap(),
        weight: Weight::new(weight).unwrap(),
    }
}

fn count(split: &[WeightedService], requests: usize, seed: u64) -> Vec<usize> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut splitter = TrafficSplitter::default();
    let mut counts = vec![0; split.len()];
    for _ in 0..requests {
        let chosen = splitter.next(split, &mut rng).unwrap();
        let place = split.iter().position(|part| part.service == chosen);
        counts[place.unwrap()] += 1;
    }
    counts
}

/// Each service stays within two requests of its share, from the first request on.
#[test]
fn by_weight() {
    for seed in 1..=20 {
        let split = [part("desk", 90), part("annex", 10)];
        for requests in [10, 50, 300] {
            let counts = count(&split, requests, seed);
            let share = requests / 10;
            assert!(counts[1].abs_diff(share) <= 2, "{counts:?} of {requests}");
        }
    }
}

/// A change of the weights takes effect with the next request.
#[test]
fn changed_weights() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut splitter = TrafficSplitter::default();
    for _ in 0..100 {
        splitter.next(&[part("desk", 99), part("annex", 1)], &mut rng);
    }
    let changed = [part("desk", 1), part("annex", 99)];
    let chosen: Vec<_> = (0..100)
        .filter_map(|_| splitter.next(&changed, &mut rng))
        .collect();
    let on_annex = chosen.iter().filter(|service| service.as_str() == "annex");
    assert!(on_annex.count() >= 97);
    assert_eq!(splitter.next(&[], &mut rng), None);
}
