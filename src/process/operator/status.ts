/** What `pomelostall status` shows. */

export interface RouterStatus {
    readonly router: {
        readonly id: string;
        readonly region: string;
        readonly availabilityZone: string;
        readonly state: string;
        readonly configurationVersion: number;
        readonly requestsInFlight: number;
        readonly callersAddress: string;
    };
    readonly platformReachable: boolean;
    readonly routers: readonly PeerStatus[];
    readonly backendServers: readonly BackendServerStatus[];
}

export interface PeerStatus {
    readonly id: string;
    readonly availabilityZone: string;
    readonly state: string;
    readonly configurationVersion: number;
}

export interface BackendServerStatus {
    readonly id: string;
    readonly region: string;
    readonly availabilityZone: string;
    readonly className: string;
    readonly state: string;
    /** Such as "salt-8b 0-11". */
    readonly holdings: readonly string[];
    /** This router's own tokens in flight there. */
    readonly inFlight: number;
}

/** What `pomelostall explain` shows: the choice that a request would get now. */
export interface Explanation {
    readonly route: string;
    readonly model: string;
    readonly configurationVersion: number;
    readonly stages: readonly { readonly backendServer: string; readonly layers: string; }[];
    readonly expectedFirstTokenMilliseconds: number;
    readonly expectedTokenMilliseconds: number;
    readonly considered: readonly string[];
    readonly reason: string;
}
