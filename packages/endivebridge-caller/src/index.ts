export {
    type Caller,
    type CallerAnswer,
    type CallerFailure,
    type CallerOptions,
    type CallerRequest,
    makeCaller
} from "./Caller";
export { type CachedLookup, type LookupCache, makeLookupCache } from "./LookupCache";
