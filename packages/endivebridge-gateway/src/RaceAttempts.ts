/** A first attempt, and a second one to start where it takes too long. */
export interface AttemptRace<Outcome> {
    readonly first: Promise<Outcome>;
    readonly delayMillis: number;
    /** Starts the second attempt, or gives undefined where there is none to make. */
    readonly startSecond: () => Promise<Outcome> | undefined;
    /** Whether an outcome is worth taking while the other attempt is still running. */
    readonly isGood: (outcome: Outcome) => boolean;
}

/** Gives the first good outcome; where neither attempt has one, the one that came last. */
export function raceAttempts<Outcome>(race: AttemptRace<Outcome>): Promise<Outcome> {
    return new Promise((resolve, reject) => {
        let running = 1;
        const follow = (attempt: Promise<Outcome>) => {
            attempt.then(outcome => {
                running -= 1;
                if (running === 0 || race.isGood(outcome)) {
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
