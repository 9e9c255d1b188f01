import { isIPv4 } from "node:net";
import { Codec, Left, Right } from "purify-ts";
import { integerBetween } from "./DecodeUntrusted";

/** Codec of TCP and UDP ports that can be connected to. */
export const PortNumber = integerBetween(1, 65_535);

/** Codec of IPv4 addresses. */
export const IpAddress = Codec.custom<string>({
    decode: value => typeof value === "string" && isIPv4(value) ? Right(value) : Left("expected an IPv4 address"),
    encode: value => value
});
