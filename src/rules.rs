pub struct Forwarder;
