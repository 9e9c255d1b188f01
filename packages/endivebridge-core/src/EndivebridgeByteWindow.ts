/** Sliding byte count over 21 slices of 50 ms, at least one second; it may overestimate but never underestimates. */
export interface ByteWindow {
    /** Counts `bytes` if that keeps every one-second window within `most`. */
    readonly tryAdd: (nowMillis: number, bytes: number, most: number) => boolean;
}

const sliceMillis = 50;
const sliceCount = 21;

/** Creates a window without bytes. */
export function makeByteWindow(): ByteWindow {
    const slices = new Float64Array(sliceCount);
    let newest = 0;
    const advance = (nowMillis: number) => {
        const slice = Math.floor(nowMillis / sliceMillis);
        for (let index = Math.max(newest + 1, slice - sliceCount + 1); index <= slice; index += 1) {
            slices[index % sliceCount] = 0;
        }
        newest = Math.max(newest, slice);
    };
    return {
        tryAdd: (nowMillis, bytes, most) => {
            advance(nowMillis);
            const sum = slices.reduce((total, slice) => total + slice, 0);
            if (sum + bytes > most) {
                return false;
            }
            slices[newest % sliceCount]! += bytes;
            return true;
        }
    };
}
