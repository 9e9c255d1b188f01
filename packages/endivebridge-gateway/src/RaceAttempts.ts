/** A first attempt, and a hedged second one that starts if the first exceeds the delay. */
export interface AttemptRace<Outcome> {
    readonly first: Promise<Outcome>;
    readonly delayMillis: number;
    /** Starts the second attempt, or returns undefined if none is possible. */
    readonly startSecond: () => Promise<Outcome> | undefined;
    /** Whether an outcome is final even while the other attempt is in flight. */
    readonly isSuccess: (outcome: Outcome) => boolean;
}

/** Resolves with the first successful outcome, or with the last outcome if neither attempt succeeds. */
export function raceAttempts<Outcome>(race: AttemptRace<Outcome>): Promise<Outcome> {
    return new Promise((resolve, reject) => {
        let running = 1;
        const follow = (attempt: Promise<Outcome>) => {
            attempt.then(outcome => {
                running -= 1;
                if (running === 0 || race.isSuccess(outcome)) {
                    clearTimeout(timer);
                    resolve(outcome);
                }
            }, reject);
        };
        const timer = setTimeout(() => {
            const second = race.startSecond();
            if (second !== undefined) {
                running += 1;
                follow(second);
            }
        }, race.delayMillis);
        follow(race.first);
    });
}
