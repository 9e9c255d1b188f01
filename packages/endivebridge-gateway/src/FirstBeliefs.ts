/** Lets requests wait while an instance that has just started learns what it needs to serve them. */
export interface FirstBeliefs {
    /** Resolves once the instance is informed; undefined where it is, or will not be soon. */
    readonly whenInformed: () => Promise<void> | undefined;
    /** Looks again whether the instance is informed. */
    readonly check: () => void;
    /** Nothing more is expected soon: the source of what is missing was lost. */
    readonly giveUp: () => void;
}

/** The store answers within this time of the start unless it is away, also when it is slow. */
const mostWaitMillis = 1_000;

/** Makes the wait of an instance that starts now. */
export function makeFirstBeliefs(isInformed: () => boolean): FirstBeliefs {
    const waiting = new Set<() => void>();
    let isOver = false;
    const release = () => {
        isOver = true;
        clearTimeout(timer);
        waiting.forEach(resolve => resolve());
        waiting.clear();
    };
    const timer = setTimeout(release, mostWaitMillis);
    return {
        whenInformed: () =>
            isOver
                ? undefined
                : new Promise(resolve => waiting.add(resolve)),
        check: () => {
            if (isInformed()) {
                release();
            }
        },
        giveUp: release
    };
}
