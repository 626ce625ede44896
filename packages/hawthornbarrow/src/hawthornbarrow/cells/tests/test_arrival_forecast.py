"""Tests of the forecast of arrivals on synthetic traces."""

import math
import random
import unittest

from hawthornbarrow.cells._arrival_forecast import _MAX_QUEUES, ArrivalForecast

STEP_S = 0.01
BURST_FACTOR = 2.5


def feed(forecast, generator, *, queue, from_s, until_s, jobs_per_s, core_s=1.0):
    """Records Poisson arrivals at a rate that may depend on the time."""
    steps = range(round(from_s / STEP_S), round(until_s / STEP_S))
    for step in steps:
        now_s = step * STEP_S
        rate = jobs_per_s(now_s) if callable(jobs_per_s) else jobs_per_s
        count, elapsed = 0, generator.expovariate(1.0)
        while elapsed < rate * STEP_S:
            count += 1
            elapsed += generator.expovariate(1.0)
        for _ in range(count):
            size = core_s * generator.lognormvariate(-0.08, 0.4)
            forecast.record(queue, size, now_s)


class ArrivalForecastTest(unittest.TestCase):
    def test_a_steady_load_is_not_taken_for_a_swing_or_bursts(self):
        for seed in range(4):
            forecast = ArrivalForecast()
            generator = random.Random(seed)
            error = 0.0
            for now_s in range(60, 90):
                start_s = 0 if now_s == 60 else now_s - 1
                feed(
                    forecast,
                    generator,
                    queue="q",
                    from_s=start_s,
                    until_s=now_s,
                    jobs_per_s=200.0,
                )
                rate = forecast.predict("q", now_s, 2.0)
                error += abs(rate.rate_cores - 200.0) / 30
                self.assertEqual(rate.period_s, 0.0)
                self.assertAlmostEqual(rate.usual_cores, 200.0, delta=10.0)
            self.assertLess(error, 14.0)
            self.assertLessEqual(forecast.burst_count, 1)

    def test_a_swing_is_found_and_predicted_better_than_by_the_level(self):
        def swing(now_s):
            return 200.0 * (1 + 0.55 * math.sin(2 * math.pi * now_s / 13.0))

        for seed in range(4):
            forecast = ArrivalForecast()
            generator = random.Random(seed)
            level_error = error = 0.0
            for now_s in range(60, 90):
                start_s = 0 if now_s == 60 else now_s - 1
                feed(
                    forecast,
                    generator,
                    queue="q",
                    from_s=start_s,
                    until_s=now_s,
                    jobs_per_s=swing,
                )
                level = forecast.predict("q", now_s).rate_cores
                rate = forecast.predict("q", now_s, 1.5)
                self.assertAlmostEqual(rate.period_s, 13.0, delta=1.0)
                actual = swing(now_s + 1.5)
                error += abs(rate.rate_cores - actual)
                level_error += abs(level - actual)
            self.assertLess(error, 0.75 * level_error)

    def test_a_burst_is_noticed_within_300_ms(self):
        for seed in range(4):
            forecast = ArrivalForecast()
            generator = random.Random(seed)
            feed(forecast, generator, queue="q", from_s=0, until_s=30, jobs_per_s=100.0)
            feed(
                forecast,
                generator,
                queue="q",
                from_s=30,
                until_s=30.3,
                jobs_per_s=100.0 * BURST_FACTOR,
            )
            rate = forecast.predict("q", 30.31)
            self.assertGreater(rate.rate_cores, 175.0)
            self.assertGreaterEqual(forecast.burst_count, 1)

    def test_the_end_of_a_burst_is_noticed_within_a_second(self):
        forecast = ArrivalForecast()
        generator = random.Random(1)
        for from_s, until_s, rate in ((0, 30, 100.0), (30, 35, 250.0), (35, 35.8, 100)):
            feed(
                forecast,
                generator,
                queue="q",
                from_s=from_s,
                until_s=until_s,
                jobs_per_s=rate,
            )
        self.assertLess(forecast.predict("q", 35.81).rate_cores, 160.0)

    def test_a_burst_of_one_queue_does_not_change_the_forecast_of_others(self):
        forecast = ArrivalForecast()
        generator = random.Random(2)
        for queue in ("a", "b"):
            feed(
                forecast, generator, queue=queue, from_s=0, until_s=30, jobs_per_s=100.0
            )
        before = forecast.predict("b", 30.0).rate_cores
        feed(forecast, generator, queue="a", from_s=30, until_s=30.3, jobs_per_s=250.0)
        self.assertGreater(forecast.predict("a", 30.31).rate_cores, 175.0)
        self.assertEqual(forecast.predict("b", 30.0).rate_cores, before)

    def test_a_shift_between_data_centres_is_no_burst(self):
        # Arrivals are counted by queue, so the sum of two data centres stays steady.
        forecast = ArrivalForecast()
        generator = random.Random(3)
        for from_s, until_s, rates in ((0, 30, (150.0, 50.0)), (30, 34, (50.0, 150.0))):
            for tenth in range(from_s * 10, until_s * 10):
                for rate in rates:
                    feed(
                        forecast,
                        generator,
                        queue="q",
                        from_s=tenth / 10,
                        until_s=tenth / 10 + 0.1,
                        jobs_per_s=rate,
                    )
        rate = forecast.predict("q", 34.0).rate_cores
        self.assertAlmostEqual(rate, 200.0, delta=50.0)

    def test_without_history_no_arrivals_are_predicted(self):
        self.assertEqual(ArrivalForecast().predict("q", 5.0).rate_cores, 0.0)

    def test_the_number_of_queues_is_bounded(self):
        forecast = ArrivalForecast()
        for number in range(2 * _MAX_QUEUES):
            forecast.record(f"q{number}", 1.0, 1.0)
        self.assertEqual(len(forecast._queues), _MAX_QUEUES)

    def test_a_queue_that_was_idle_for_a_year_starts_anew_at_once(self):
        forecast = ArrivalForecast()
        forecast.record("q", 1.0, 1.0)
        forecast.record("q", 1.0, 365 * 86_400.0)
        self.assertEqual(forecast.predict("q", 365 * 86_400.0).rate_cores, 0.0)
