/** Undoes one registration. */
export type Teardown = () => void;

/** Makes one teardown of several; the last registered is undone first. */
export function mergeTeardowns(...teardowns: readonly Teardown[]): Teardown {
    return () => {
        for (const teardown of [...teardowns].reverse()) {
            teardown();
        }
    };
}
