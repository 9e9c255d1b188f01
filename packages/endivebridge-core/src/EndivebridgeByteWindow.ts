/** Sliding byte count over 21 slices of 50 ms, at least one second; it may overestimate but never underestimates. */
export interface ByteWindow {
    /** Counts `bytes` unless a one-second window would then exceed `maxBytes`; false if it would. */
    readonly tryAdd: (nowMillis: number, bytes: number, maxBytes: number) => boolean;
}

const sliceMillis = 50;
const sliceCount = 21;

/** Creates a window without bytes. */
export function makeByteWindow(): ByteWindow {
    const slices = new Float64Array(sliceCount);
    let newestSlice = 0;
    const advance = (nowMillis: number) => {
        const slice = Math.floor(nowMillis / sliceMillis);
        for (let index = Math.max(newestSlice + 1, slice - sliceCount + 1); index <= slice; index += 1) {
            slices[index % sliceCount] = 0;
        }
        newestSlice = Math.max(newestSlice, slice);
    };
    return {
        tryAdd: (nowMillis, bytes, maxBytes) => {
            advance(nowMillis);
            const sum = slices.reduce((total, slice) => total + slice, 0);
            if (sum + bytes > maxBytes) {
                return false;
            }
            slices[newestSlice % sliceCount]! += bytes;
            return true;
        }
    };
}
