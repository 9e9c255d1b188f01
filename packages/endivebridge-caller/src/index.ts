export {
    type Caller,
    type CallerFailure,
    type CallerOptions,
    type CallerRequest,
    type CallerResponse,
    makeCaller
} from "./Caller";
export { type CachedLookup, type LookupCache, makeLookupCache } from "./LookupCache";
