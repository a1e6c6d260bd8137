use super::*;

#[test]
fn an_operator_takes_it_out_and_in_again_however_often_it_is_said() {
    let life = Lifecycle::start();
    assert_eq!(life.take_in(), Ok(()));
    assert_eq!(life.stage(), Stage::Starting, "nothing can be served yet");
    life.can_serve();
    for _ in 0..2 {
        assert_eq!(
            (life.take_out(), life.stage(), life.is_up()),
            (Ok(()), Stage::OutOfService, false)
        );
    }
    life.can_serve();
    assert_eq!(
        life.stage(),
        Stage::OutOfService,
        "a new list does not end a drain"
    );
    for _ in 0..2 {
        assert_eq!(
            (life.take_in(), life.stage(), life.is_up()),
            (Ok(()), Stage::InService, true)
        );
    }
}

#[test]
fn a_drain_before_the_first_list_lasts_until_its_end_is_told() {
    let life = Lifecycle::start();
    assert_eq!(life.take_out(), Ok(()));
    assert_eq!(life.take_in(), Ok(()));
    assert_eq!(life.stage(), Stage::Starting);
    assert_eq!(life.take_out(), Ok(()));
    life.can_serve();
    assert_eq!((life.take_in(), life.stage()), (Ok(()), Stage::InService));
}

#[tokio::test(start_paused = true)]
async fn who_stops_goes_on_stopping_and_takes_nothing_that_would_outlive_it() {
    let life = Lifecycle::start();
    life.can_serve();
    assert_eq!(life.time_left(), None);
    let end = |ms| Instant::now() + Duration::from_millis(ms);
    life.stop(ShutdownTimes {
        answers_by: end(3_000),
        ends_at: end(5_000),
    });
    assert_eq!(
        (life.closes_at(), life.ends_at()),
        (Some(end(1_500)), Some(end(5_000)))
    );
    assert_eq!(
        (life.take_in(), life.take_out()),
        (Err(IsStopping), Err(IsStopping))
    );
    assert!(life.is_leaving());
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(life.time_left(), Some(Duration::from_secs(2)));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(
        life.closes_at(),
        Some(end(900)),
        "sooner than the last answers"
    );
    tokio::time::advance(Duration::from_secs(5)).await;
    assert_eq!(life.time_left(), Some(Duration::ZERO));
}
