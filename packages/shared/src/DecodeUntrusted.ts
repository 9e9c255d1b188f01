import { array, Codec, type Either, Left, Right, unknown } from "purify-ts";

/** Decodes content of another writer; one that is nested too deeply for the decoder's error text is an error too. */
export function decodeUntrusted<Value>(codec: Codec<Value>, content: unknown): Either<string, Value> {
    try {
        return codec.decode(content);
    }
    catch (error) {
        return Left(`cannot be decoded: ${String(error)}`);
    }
}

/** Decodes JSON of another writer. */
export function decodeUntrustedJson<Value>(codec: Codec<Value>, bytes: Buffer): Either<string, Value> {
    let content: unknown;
    try {
        content = JSON.parse(bytes.toString("utf8"));
    }
    catch {
        return Left("not JSON");
    }
    return decodeUntrusted(codec, content);
}

/** Codec of a list that leaves out entries which cannot be decoded, so that an odd one costs only itself. */
export function validEntries<Value>(codec: Codec<Value>): Codec<Value[]> {
    return Codec.custom<Value[]>({
        decode: value =>
            decodeUntrusted(array(unknown), value).map(entries =>
                entries.flatMap(entry => {
                    const decoded = decodeUntrusted(codec, entry);
                    return decoded.isRight() ? [decoded.unsafeCoerce()] : [];
                })
            ),
        encode: values => values.map(entry => codec.encode(entry))
    });
}

/** Codec of whole numbers within inclusive bounds. */
export function integerBetween(least: number, most: number): Codec<number> {
    return Codec.custom<number>({
        decode: value =>
            typeof value === "number" && Number.isInteger(value) && value >= least && value <= most
                ? Right(value)
                : Left(`expected a whole number from ${least} to ${most}`),
        encode: value => value
    });
}
