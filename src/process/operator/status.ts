/** Responses of the operator interface that `pomelostall status` and `pomelostall explain` print. */

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
    /** Model and layer range of each holding, such as "salt-8b 0-11". */
    readonly holdings: readonly string[];
    /** Tokens that this router has in flight on the backend server. */
    readonly inFlight: number;
}

/** The routing decision that a request would get at this moment. */
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
